/** Type declarations for the part of js-csp that this project uses; the library ships none. */
declare module 'js-csp' {
	/** The result of a take from a closed channel; never a value that a channel carries. */
	export const CLOSED: undefined;
	export const DEFAULT: unique symbol;

	export type ChannelBuffer<T> = {
		isFull(): boolean;
		add(value: T): void;
		remove(): T | undefined;
		count(): number;
	};

	export type Channel<T> = {
		readonly closed: boolean;
		close(): void;
	};

	export type Instruction = {readonly instruction: 'csp'};

	export function chan<T>(bufferOrSize?: number | ChannelBuffer<T>): Channel<T>;
	export function timeout(milliseconds: number): Channel<never>;
	export function take<T>(channel: Channel<T>): Instruction;
	export function put<T>(channel: Channel<T>, value: T): Instruction;
	export function alts(operations: ReadonlyArray<Channel<unknown>>, options?: {priority?: boolean}): Instruction;
	export function putAsync<T>(channel: Channel<T>, value: T, callback?: (accepted: boolean) => void): void;
	export function takeAsync<T>(channel: Channel<T>, callback: (value: T | undefined) => void): void;
	export function offer<T>(channel: Channel<T>, value: T): boolean;
	export function poll<T>(channel: Channel<T>): T | typeof NO_VALUE;
	export const NO_VALUE: unique symbol;
	export function spawn<T>(generator: Generator<unknown, T, unknown>): Channel<T>;
	export const buffers: {
		fixed<T>(size: number): ChannelBuffer<T>;
		dropping<T>(size: number): ChannelBuffer<T>;
		sliding<T>(size: number): ChannelBuffer<T>;
	};
}
