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

/** A parsed request body. */
export type Task = {
	readonly model: string;
	readonly isStream: boolean;
	readonly prompt: string;
	readonly promptTokens: number;
	/** Number of tokens in the complete response; unknown to the caller when it sends the request. */
	readonly length: number;
	readonly isBounded: boolean;
	readonly resumeText: string;
	/** Returns the text of token `index`. It depends only on the body, so that every engine writes the same. */
	readonly token: (index: number) => string;
};

const bytesPerToken = 4;
const lengthMarker = /\[\[tokens=(?<tokens>\d+)\]\]/v;
const words = ['satin', 'needle', 'thread', 'hoop', 'tray', 'menu', 'guest', 'table', 'stitch', 'colour', 'chart', 'order', 'kitchen', 'border', 'fill', 'underlay'];
/** Lengths without a marker range from `shortestLength` to about 330 tokens, most of them short. */
const shortestLength = 4;
const lengthExponent = 4.4;

/** Parses a body; throws if it is not a valid request. */
export function readTask(text: string): Task {
	const body = bodySchema.parse(JSON.parse(text));
	if (body.messages === undefined && body.prompt === undefined) {
		throw new Error('neither messages nor prompt');
	}

	const prompt = body.prompt ?? body.messages!.map(message => `${message.role}: ${contentText(message.content)}`).join('\n');
	const seed = hash(`${body.model}\n${prompt}`, 17);
	const naturalLength = naturalLengthOf(prompt, seed);
	const maximumLength = body.max_tokens ?? body.max_completion_tokens ?? Number.POSITIVE_INFINITY;
	return {
		model: body.model,
		isStream: body.stream ?? false,
		prompt,
		promptTokens: Math.ceil(prompt.length / bytesPerToken),
		length: Math.min(naturalLength, maximumLength),
		isBounded: maximumLength < naturalLength,
		resumeText: body.resume_text ?? '',
		token: index => index === 0 ? `#${seed.toString(36)}` : ` ${words[mix(seed, index) % words.length]!}`,
	};
}

/** Returns the complete response text of any engine to this body: exactly what a caller must get. */
export function expectedAnswer(text: string): string {
	const task = readTask(text);
	return Array.from({length: task.length}, (_, index) => task.token(index)).join('');
}

function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content);
}

function naturalLengthOf(prompt: string, seed: number): number {
	const marked = lengthMarker.exec(prompt)?.groups?.tokens;
	if (marked !== undefined) {
		return Math.max(1, Number(marked));
	}

	return Math.floor(shortestLength * Math.exp(lengthExponent * ((mix(seed, 1) % 1000) / 1000)));
}

const fnvPrime = 16_777_619;

/* eslint-disable no-bitwise -- FNV-1a consists of these operations. */
/** A 32-bit FNV-1a hash: sufficient to distinguish test prompts, and the same in every process. */
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
