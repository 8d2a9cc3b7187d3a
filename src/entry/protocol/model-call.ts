import {z} from 'zod';
import {createFailure, FailureKind, RequestError, sha256} from '../../model/index.js';
import {PromptReader, type PromptSummary} from './prompt.js';
import {type Route} from './route.js';

/** A route that a model engine answers. */
export type ModelRoute = Extract<Route, {type: 'chat' | 'completion'}>;

/** A caller's request to a model, checked, and rewritten for the engine. */
export type ModelCall = {
	readonly model: string;
	/** True if the caller wants events, false if it wants one object. */
	readonly stream: boolean;
	/** True if the caller asked for the usage event at the end of its stream. */
	readonly includeUsage: boolean;
	readonly maxTokens?: number;
	/** Estimated from the bytes of the prompt. */
	readonly promptTokens: number;
	/** A hash of model and leading prompt text; equal ones are likely to share cached blocks. */
	readonly prefix: string;
	/** A hash of the body for the engine: equal when the caller sends the request again. */
	readonly fingerprintSource: string;
	/** What the engine gets: streamed, with usage, the caller's other fields as they came. */
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
const shownIssues = 3;

/**
 * Checks a body against the published shape of its route. Fields that are not known here go on to
 * the engine untouched. The engine always streams: the whole path works on events, and an answer
 * that the caller wants in one piece is joined at the entry. Throws a `RequestError`.
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
	const reader = PromptReader.create(chat.model);
	for (const message of chat.messages) {
		reader.addText(message.role);
		addContent(reader, message.content);
	}

	return reader.summarize();
}

function addContent(reader: PromptReader, content: Chat['messages'][number]['content']): void {
	if (typeof content === 'string') {
		reader.addText(content);
		return;
	}

	for (const part of content ?? []) {
		if (part.text === undefined) {
			reader.addOtherPart();
			continue;
		}

		reader.addText(part.text);
	}
}

function summarizeCompletion(completion: Completion): PromptSummary {
	const reader = PromptReader.create(completion.model);
	if (typeof completion.prompt === 'string') {
		reader.addText(completion.prompt);
		return reader.summarize();
	}

	for (const part of completion.prompt) {
		if (typeof part === 'string') {
			reader.addText(part);
		}
	}

	const tokenIds = completion.prompt.filter(part => typeof part === 'number');
	if (tokenIds.length > 0) {
		reader.addText(tokenIds.slice(0, 256).join(' '));
		reader.addTokens(tokenIds.length);
	}

	return reader.summarize();
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
		// The parser's own message quotes the body, which may hold a prompt.
		throw badRequest('The body is not JSON.');
	}
}

function check<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
	const result = schema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const problems = result.error.issues.slice(0, shownIssues).map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
	throw badRequest(`The body is not valid: ${problems.join('; ')}.`);
}

function badRequest(message: string): RequestError {
	return RequestError.create(createFailure(FailureKind.badRequest, message));
}
