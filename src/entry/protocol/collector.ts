import {z} from 'zod';

/** Which of the two published shapes an answer has. */
export type AnswerKind = 'chat' | 'completion';

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

/** Joins the events of one streamed answer to the object that a caller without streaming gets. */
export class AnswerCollector {
	static create(kind: AnswerKind): AnswerCollector {
		return new AnswerCollector(kind);
	}

	readonly #kind: AnswerKind;
	readonly #message: Fields = {};
	#head: Event = {};
	#text = '';
	#finishReason: string | undefined;
	#logprobs: Fields | undefined;

	private constructor(kind: AnswerKind) {
		this.#kind = kind;
	}

	/** Adds an event; false says that it is not of the published shape. */
	add(text: string): boolean {
		const event = parseEvent(text);
		if (event === undefined) {
			return false;
		}

		if (this.#head.id === undefined) {
			const {choices, ...head} = event;
			this.#head = head;
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
			id: this.#head.id ?? requestId,
			object: this.#kind === 'chat' ? 'chat.completion' : 'text_completion',
			created: this.#head.created ?? Math.floor(Date.now() / 1000),
			model: this.#head.model ?? '',
			...('system_fingerprint' in this.#head && {system_fingerprint: this.#head.system_fingerprint}),
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

/** Parts of a delta that repeat unchanged instead of growing. */
const fixedFields = new Set(['role', 'id', 'type', 'index']);

/** Texts and lists grow from event to event; numbered list items, such as tool calls, grow each by itself. */
function mergeFields(into: Fields, delta: Fields): void {
	for (const [name, value] of Object.entries(delta)) {
		if (value === null || value === undefined) {
			continue;
		}

		into[name] = mergeField(name, into[name], value);
	}
}

function mergeField(name: string, held: unknown, value: unknown): unknown {
	if (typeof value === 'string' && typeof held === 'string' && !fixedFields.has(name)) {
		return held + value;
	}

	if (Array.isArray(value)) {
		return mergeList(Array.isArray(held) ? held as unknown[] : [], value as unknown[]);
	}

	if (typeof value === 'object') {
		const merged = isFields(held) ? held : {};
		mergeFields(merged, value as Fields);
		return merged;
	}

	return value;
}

function mergeList(held: unknown[], items: readonly unknown[]): unknown[] {
	for (const item of items) {
		const index = isFields(item) ? item.index : undefined;
		const known = index === undefined ? undefined : held.find(other => isFields(other) && other.index === index);
		if (isFields(known) && isFields(item)) {
			mergeFields(known, item);
			continue;
		}

		held.push(item);
	}

	return held;
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
