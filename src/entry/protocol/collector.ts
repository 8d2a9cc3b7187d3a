import {z} from 'zod';

/** Which of the two OpenAI response formats is used. */
export type ResponseKind = 'chat' | 'completion';

type Fields = Record<string, unknown>;

const eventSchema = z.looseObject({
	id: z.string().optional(),
	created: z.number().optional(),
	model: z.string().optional(),
	choices: z.array(z.looseObject({
		delta: z.looseObject({}).nullish(),
		text: z.string().nullish(),
		finish_reason: z.string().nullish(),
		logprobs: z.looseObject({}).nullish(),
	})).max(1).optional(),
});
type Event = z.infer<typeof eventSchema>;
type Choice = NonNullable<Event['choices']>[number];

/** Joins the events of one streamed response into the object that a caller without streaming gets. */
export class ResponseCollector {
	static create(kind: ResponseKind): ResponseCollector {
		return new ResponseCollector(kind);
	}

	readonly #kind: ResponseKind;
	readonly #message: Fields = {};
	/** The fields of the first event with an id, without its choices. */
	#envelope: Event = {};
	#text = '';
	#finishReason: string | undefined;
	#logprobs: Fields | undefined;

	private constructor(kind: ResponseKind) {
		this.#kind = kind;
	}

	/** Adds an event; false if it does not have the OpenAI format. */
	add(text: string): boolean {
		const event = parseEvent(text);
		if (event === undefined) {
			return false;
		}

		if (this.#envelope.id === undefined) {
			const {choices, ...envelope} = event;
			this.#envelope = envelope;
		}

		const choice = event.choices?.[0];
		if (choice !== undefined) {
			this.#addChoice(choice);
		}

		return true;
	}

	/** The joined object; `usage` is the engine's usage event. */
	join(requestId: string, usage?: string): Fields {
		const usageObject = parseUsage(usage);
		return {
			id: this.#envelope.id ?? requestId,
			object: this.#kind === 'chat' ? 'chat.completion' : 'text_completion',
			created: this.#envelope.created ?? Math.floor(Date.now() / 1000),
			model: this.#envelope.model ?? '',
			...('system_fingerprint' in this.#envelope && {system_fingerprint: this.#envelope.system_fingerprint}),
			choices: [this.#joinChoice()],
			...(usageObject !== undefined && {usage: usageObject}),
		};
	}

	#joinChoice(): Fields {
		const rest = {logprobs: this.#logprobs ?? null, finish_reason: this.#finishReason ?? null};
		return this.#kind === 'chat'
			? {index: 0, message: {role: 'assistant', content: null, refusal: null, ...this.#message}, ...rest}
			: {index: 0, text: this.#text, ...rest};
	}

	#addChoice(choice: Choice): void {
		this.#text += choice.text ?? '';
		this.#finishReason = choice.finish_reason ?? this.#finishReason;
		mergeFields(this.#message, choice.delta ?? {});
		if (choice.logprobs) {
			this.#logprobs ??= {};
			mergeFields(this.#logprobs, choice.logprobs);
		}
	}
}

/** Fields of a delta that are repeated unchanged and must not be concatenated. */
const fixedFields = new Set(['role', 'id', 'type', 'index']);

/** Concatenates texts and lists from event to event; list items with an index, such as tool calls, are merged by index. */
function mergeFields(target: Fields, delta: Fields): void {
	for (const [name, value] of Object.entries(delta)) {
		if (value === null || value === undefined) {
			continue;
		}

		target[name] = mergeField(name, target[name], value);
	}
}

function mergeField(name: string, existing: unknown, value: unknown): unknown {
	if (typeof value === 'string' && typeof existing === 'string' && !fixedFields.has(name)) {
		return existing + value;
	}

	if (Array.isArray(value)) {
		return mergeList(Array.isArray(existing) ? existing as unknown[] : [], value as unknown[]);
	}

	if (typeof value === 'object') {
		const merged = isFields(existing) ? existing : {};
		mergeFields(merged, value as Fields);
		return merged;
	}

	return value;
}

function mergeList(existing: unknown[], items: readonly unknown[]): unknown[] {
	for (const item of items) {
		const index = isFields(item) ? item.index : undefined;
		const match = index === undefined ? undefined : existing.find(other => isFields(other) && other.index === index);
		if (isFields(match) && isFields(item)) {
			mergeFields(match, item);
			continue;
		}

		existing.push(item);
	}

	return existing;
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseEvent(text: string): Event | undefined {
	try {
		return eventSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

function parseUsage(text: string | undefined): unknown {
	if (text === undefined) {
		return undefined;
	}

	try {
		const value: unknown = JSON.parse(text);
		return isFields(value) && 'usage' in value ? value.usage : value;
	} catch {
		return undefined;
	}
}
