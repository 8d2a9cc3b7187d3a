import {z} from 'zod';
import {createFailure, FailureKind, RequestError, sha256} from '../../model/index.js';
import {PromptSummarizer, type PromptSummary} from './prompt.js';
import {type Route} from './route.js';

/** A route that is served by a model engine. */
export type ModelRoute = Extract<Route, {type: 'chat' | 'completion'}>;

/** A caller's request to a model, validated and rewritten for the engine. */
export type ModelCall = {
	readonly model: string;
	/** True if the caller requested server-sent events, false if it gets one object. */
	readonly stream: boolean;
	/** True if the caller asked for the usage event at the end of its stream. */
	readonly includeUsage: boolean;
	readonly maxTokens?: number;
	/** Estimated from the bytes of the prompt. */
	readonly promptTokens: number;
	/** A hash of the model and the leading prompt text; requests with equal values are likely to share cached blocks. */
	readonly prefix: string;
	/** A hash of the request body for the engine; equal when the caller sends the same request again. */
	readonly fingerprintSource: string;
	/** The request body for the engine: with streaming and usage enabled, and the caller's other fields unchanged. */
	readonly body: Uint8Array;
};

const count = z.number().int().positive();
const onlyOne = z.literal(1, 'only 1 is supported').nullish();
const commonFields = {
	model: z.string().min(1).max(256),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
	max_tokens: count.nullish(),
	max_completion_tokens: count.nullish(),
	n: onlyOne,
	best_of: onlyOne,
};
const contentPart = z.looseObject({type: z.string(), text: z.string().optional()});
const chatMessage = z.looseObject({
	role: z.string().min(1),
	content: z.union([z.string(), z.array(contentPart)]).nullish(),
});
const chatSchema = z.looseObject({...commonFields, messages: z.array(chatMessage).min(1)});
const completionSchema = z.looseObject({
	...commonFields,
	prompt: z.union([z.string(), z.array(z.string()).length(1), z.array(z.number().int()).min(1)], 'one text, or one list of token numbers, is supported'),
});
type Chat = z.infer<typeof chatSchema>;
type Completion = z.infer<typeof completionSchema>;

const decoder = new TextDecoder('utf-8', {fatal: true});
const encoder = new TextEncoder();
const maxReportedIssues = 3;

/**
 * Validates a body against the OpenAI schema of its route. Unknown fields are passed to the engine unchanged. The
 * engine always streams: all components work on events, and for a caller without streaming the entry joins
 * the events. Throws a `RequestError`.
 */
export function parseModelCall(route: ModelRoute, body: Uint8Array): ModelCall {
	const value = parseJson(body);
	switch (route.type) {
		case 'chat': {
			const chat = check(chatSchema, value);
			return createCall(chat, summarizeChat(chat));
		}

		case 'completion': {
			const completion = check(completionSchema, value);
			return createCall(completion, summarizeCompletion(completion));
		}
	}
}

function createCall(request: Chat | Completion, prompt: PromptSummary): ModelCall {
	const engineRequest = {...request, stream: true, stream_options: {...request.stream_options, include_usage: true}};
	const text = JSON.stringify(engineRequest);
	const maxTokens = request.max_completion_tokens ?? request.max_tokens ?? undefined;
	return {
		model: request.model,
		stream: request.stream ?? false,
		includeUsage: request.stream_options?.include_usage ?? false,
		...(maxTokens !== undefined && {maxTokens}),
		promptTokens: prompt.tokens,
		prefix: prompt.prefix,
		fingerprintSource: sha256(text),
		body: encoder.encode(text),
	};
}

function summarizeChat(chat: Chat): PromptSummary {
	const summarizer = PromptSummarizer.create(chat.model);
	for (const message of chat.messages) {
		summarizer.addText(message.role);
		addContent(summarizer, message.content);
	}

	return summarizer.summarize();
}

function addContent(summarizer: PromptSummarizer, content: Chat['messages'][number]['content']): void {
	if (typeof content === 'string') {
		summarizer.addText(content);
		return;
	}

	for (const part of content ?? []) {
		if (part.text === undefined) {
			summarizer.addNonTextPart();
			continue;
		}

		summarizer.addText(part.text);
	}
}

function summarizeCompletion(completion: Completion): PromptSummary {
	const summarizer = PromptSummarizer.create(completion.model);
	if (typeof completion.prompt === 'string') {
		summarizer.addText(completion.prompt);
		return summarizer.summarize();
	}

	for (const part of completion.prompt) {
		if (typeof part === 'string') {
			summarizer.addText(part);
		}
	}

	const tokenIds = completion.prompt.filter(part => typeof part === 'number');
	if (tokenIds.length > 0) {
		summarizer.addText(tokenIds.slice(0, 256).join(' '));
		summarizer.addTokens(tokenIds.length);
	}

	return summarizer.summarize();
}

function parseJson(body: Uint8Array): unknown {
	let text: string;
	try {
		text = decoder.decode(body);
	} catch {
		throw badRequest('The body is not UTF-8 text.');
	}

	try {
		return JSON.parse(text);
	} catch {
		// The parser's message is not passed on, because it quotes the body, which may contain a prompt.
		throw badRequest('The body is not JSON.');
	}
}

function check<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
	const result = schema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const problems = result.error.issues.slice(0, maxReportedIssues).map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
	throw badRequest(`The body is not valid: ${problems.join('; ')}.`);
}

function badRequest(message: string): RequestError {
	return RequestError.create(createFailure(FailureKind.badRequest, message));
}
