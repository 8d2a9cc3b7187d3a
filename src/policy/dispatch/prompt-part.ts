/**
 * A part of a prompt; parts come in the order of the prompt, and equal ids hold equal tokens. The id is a hash of 32
 * bits, which keeps messages between instances short; two parts that share one cause a wrong estimate, not a wrong
 * response.
 */
export type PromptPart = {readonly id: number; readonly tokens: number};

/** Total tokens of the parts. */
export function tokensOf(parts: readonly PromptPart[]): number {
	return tokensFrom(parts, 0);
}

/** Total tokens of the parts from an index on. */
export function tokensFrom(parts: readonly PromptPart[], start: number): number {
	let sum = 0;
	for (let index = start; index < parts.length; index++) {
		sum += parts[index]!.tokens;
	}

	return sum;
}

/** Parts as instances exchange them: ids and token counts in turn. */
export function flattenParts(parts: readonly PromptPart[]): number[] {
	return parts.flatMap(({id, tokens}) => [id, tokens]);
}

/** Restores parts from such numbers; a last id without its token count is dropped. */
export function unflattenParts(values: readonly number[]): PromptPart[] {
	return Array.from({length: Math.floor(values.length / 2)}, (_, index) => ({id: values[index * 2]!, tokens: values[(index * 2) + 1]!}));
}
