/** Type declarations for the part of imurmurhash that is used here; the library has none. */
declare module 'imurmurhash' {
	type State = {result(): number};
	/** Without `new` it returns one shared object, which the next call resets. */
	export default function MurmurHash3(text: string, seed?: number): State;
}
