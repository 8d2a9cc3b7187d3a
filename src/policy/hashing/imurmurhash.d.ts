/** Typings of the part of imurmurhash that this project uses; the library ships none. */
declare module 'imurmurhash' {
	type State = {result(): number};
	/** Without `new` it returns one shared object, which the next call starts anew. */
	export default function MurmurHash3(text: string, seed?: number): State;
}
