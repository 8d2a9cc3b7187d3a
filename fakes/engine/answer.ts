import {z} from 'zod';

const bodySchema = z.looseObject({
	model: z.string(),
	stream: z.boolean().optional(),
	max_tokens: z.number().int().positive().optional(),
	max_completion_tokens: z.number().int().positive().optional(),
	messages: z.array(z.looseObject({role: z.string(), content: z.unknown()})).optional(),
	prompt: z.string().optional(),
	resume_text: z.string().optional(),
});

/** What an engine makes of a request's body. */
export type Task = {
	readonly model: string;
	readonly isStream: boolean;
	readonly prompt: string;
	readonly promptTokens: number;
	/** How many tokens the whole answer has; its caller does not know it on arrival. */
	readonly length: number;
	readonly isBounded: boolean;
	readonly resumeText: string;
	/** The text of token `index`: it depends on the body alone, so every engine writes the same. */
	readonly token: (index: number) => string;
};

const bytesPerToken = 4;
const lengthMarker = /\[\[tokens=(?<tokens>\d+)\]\]/v;
const words = ['satin', 'needle', 'thread', 'hoop', 'tray', 'menu', 'guest', 'table', 'stitch', 'colour', 'chart', 'order', 'kitchen', 'border', 'fill', 'underlay'];
/** Lengths without a marker run from `shortest` to about 330 tokens, most of them short. */
const shortest = 4;
const longTail = 4.4;

/** Reads a body; throws if it is no request that an engine takes. */
export function readTask(text: string): Task {
	const body = bodySchema.parse(JSON.parse(text));
	if (body.messages === undefined && body.prompt === undefined) {
		throw new Error('neither messages nor prompt');
	}

	const prompt = body.prompt ?? body.messages!.map(message => `${message.role}: ${contentText(message.content)}`).join('\n');
	const seed = hash(`${body.model}\n${prompt}`, 17);
	const wanted = wantedLength(prompt, seed);
	const bound = body.max_tokens ?? body.max_completion_tokens ?? Number.POSITIVE_INFINITY;
	return {
		model: body.model,
		isStream: body.stream ?? false,
		prompt,
		promptTokens: Math.ceil(prompt.length / bytesPerToken),
		length: Math.min(wanted, bound),
		isBounded: bound < wanted,
		resumeText: body.resume_text ?? '',
		token: index => index === 0 ? `#${seed.toString(36)}` : ` ${words[mix(seed, index) % words.length]!}`,
	};
}

/** The whole text that any engine answers this body with: what a caller must get, to the letter. */
export function expectedAnswer(text: string): string {
	const task = readTask(text);
	return Array.from({length: task.length}, (_, index) => task.token(index)).join('');
}

function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content);
}

function wantedLength(prompt: string, seed: number): number {
	const told = lengthMarker.exec(prompt)?.groups?.tokens;
	if (told !== undefined) {
		return Math.max(1, Number(told));
	}

	return Math.floor(shortest * Math.exp(longTail * ((mix(seed, 1) % 1000) / 1000)));
}

const fnvPrime = 16_777_619;

/* eslint-disable no-bitwise -- FNV-1a is made of these operations. */
/** A 32-bit FNV-1a hash: enough to tell test prompts apart, and the same in every process. */
export function hash(text: string, start = 2_166_136_261): number {
	let value = start;
	for (let index = 0; index < text.length; index++) {
		value = Math.imul(value ^ text.codePointAt(index)!, fnvPrime);
	}

	return value >>> 0;
}

function mix(seed: number, index: number): number {
	let value = Math.imul(seed ^ index, 0x85_EB_CA_6B);
	value = Math.imul(value ^ (value >>> 13), 0xC2_B2_AE_35);
	return (value ^ (value >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
