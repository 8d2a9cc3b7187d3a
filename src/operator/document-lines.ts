import {isCollection, isMap, isNode, isPair, isScalar, LineCounter, parseDocument, visit, type Document} from 'yaml';

/** The path of a field in a document: names and, in lists, positions from 0. */
export type FieldPath = ReadonlyArray<string | number>;

/** What a parser says about a document. Messages may quote the text. */
export type DocumentError = {readonly code: string; readonly line: number; readonly message: string};

/** A document in YAML or JSON, in which the lines of fields can be found. Lines are counted from 1. */
export class LocatedDocument {
	static create(text: string): LocatedDocument {
		return new LocatedDocument(text);
	}

	readonly errors: readonly DocumentError[];
	readonly #lines = new LineCounter();
	readonly #document: Document.Parsed;

	private constructor(text: string) {
		this.#document = parseDocument(text, {lineCounter: this.#lines, prettyErrors: false});
		this.errors = this.#document.errors.map(({code, pos: [offset], message}) => ({code, line: this.lineAt(offset), message}));
	}

	/** The line of a field; for a missing one, of the innermost node on its path that exists. */
	lineOf(path: FieldPath): number {
		return this.lineAt(offsetOf(this.#document, path));
	}

	/** The line of an offset in the text, in UTF-16 code units. */
	lineAt(offset: number): number {
		return this.#lines.linePos(offset).line;
	}

	/** The line of the first value that YAML has and JSON does not: a string without double quotes, or a collection without brackets. */
	get lineBeyondJson(): number | undefined {
		const offset = firstBeyondJson(this.#document);
		return offset === undefined ? undefined : this.lineAt(offset);
	}

	/** The content as plain values. */
	toValue(): unknown {
		return this.#document.toJS();
	}
}

function offsetOf(document: Document.Parsed, path: FieldPath): number {
	let offset = 0;
	let node: unknown = document.contents;
	for (const part of path) {
		if (!isCollection(node)) {
			return offset;
		}

		const pair = isMap(node) ? node.items.find(item => isPair(item) && isScalar(item.key) && item.key.value === part) : undefined;
		const key: unknown = pair?.key;
		node = node.get(part, true);
		const target = isNode(key) ? key : node;
		if (!isNode(target)) {
			return offset;
		}

		offset = target.range?.[0] ?? offset;
	}

	return offset;
}

function firstBeyondJson(document: Document.Parsed): number | undefined {
	let offset: number | undefined;
	visit(document, {
		Collection(_key, node) {
			return node.flow === true ? undefined : found(node.range);
		},
		Scalar(_key, node) {
			return node.type === 'QUOTE_DOUBLE' || (node.type === 'PLAIN' && typeof node.value !== 'string') ? undefined : found(node.range);
		},
	});
	return offset;

	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- the parser's nodes have null ranges
	function found(range: readonly number[] | null | undefined): symbol {
		offset = range?.[0] ?? 0;
		return visit.BREAK;
	}
}
