/** Parser for JSON with comments that keeps the location of every value for error messages. */
import {
	createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, SyntaxKind,
	type Node, type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import type {InputProblem, SourceLocation} from './errors.js';
import {fail, ok, type Outcome} from './outcome.js';

const maxDepth = 24;
const maxSizeBytes = 16 * 1024 * 1024;

/** A parsed document. */
export type JsoncDocument = {
	/** The value without locations. */
	readonly value: unknown;
	/**
	Returns the location of a value.
	@param path - keys from the root.
	@returns the location of the value, or of its nearest ancestor that exists.
	*/
	locationOf(path: ReadonlyArray<string | number>): SourceLocation;
};

/** Converts character offsets to lines and columns. */
class LineIndex {
	private readonly lineStarts: number[] = [0];

	constructor(private readonly source: string, text: string) {
		for (let offset = text.indexOf('\n'); offset !== -1; offset = text.indexOf('\n', offset + 1)) {
			this.lineStarts.push(offset + 1);
		}
	}

	locationAt(offset: number, path: ReadonlyArray<string | number> = []): SourceLocation {
		let line = 0;
		let above = this.lineStarts.length;
		while (above - line > 1) {
			const middle = Math.floor((line + above) / 2);
			if (this.lineStarts[middle] <= offset) {
				line = middle;
			} else {
				above = middle;
			}
		}

		return {
			source: this.source, path: path.length === 0 ? undefined : `/${path.join('/')}`, line: line + 1, column: offset - this.lineStarts[line] + 1,
		};
	}
}

/**
Parses a document.
@param bytes - the text, as UTF-8 bytes or already decoded.
@param source - the name of the input, for errors.
@param isStrict - accept only plain JSON, without comments and trailing commas.
@returns the document, or all problems found.
*/
export function readJsonc(bytes: Uint8Array | string, source: string, isStrict = false): Outcome<JsoncDocument, InputProblem[]> {
	const text = decode(bytes);
	if (text === undefined) {
		return fail([{code: 'badEncoding', message: 'not UTF-8 text', place: {source}}]);
	}

	if (text.length > maxSizeBytes) {
		return fail([{code: 'tooLarge', message: `${text.length} characters, at most ${maxSizeBytes}`, place: {source}}]);
	}

	const lines = new LineIndex(source, text);
	const deepOffset = findExcessiveDepth(text);
	if (deepOffset !== undefined) {
		return fail([{code: 'tooDeep', message: `nested deeper than ${maxDepth}`, place: lines.locationAt(deepOffset)}]);
	}

	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: !isStrict, disallowComments: isStrict, allowEmptyContent: false});
	if (errors.length > 0 || !root) {
		return fail(errors.map(error => ({
			code: 'badSyntax', message: toWords(printParseErrorCode(error.error)), place: lines.locationAt(error.offset),
		})));
	}

	const duplicates = findDuplicateKeys(root, [], lines);
	return duplicates.length > 0 ? fail(duplicates) : ok(documentOf(root, lines));
}

/**
Validates a document against a schema.
@param document - a parsed document.
@param schema - the schema.
@returns the typed value, or all problems found, each with its location.
*/
export function checkDocument<T>(document: JsoncDocument, schema: z.ZodType<T>): Outcome<T, InputProblem[]> {
	const parsed = schema.safeParse(document.value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	return fail(parsed.error.issues.flatMap(issue => {
		const path = issue.path.filter(part => typeof part !== 'symbol');
		if (issue.code === 'unrecognized_keys') {
			return issue.keys.map(key => ({
				code: 'unknownField', message: `unknown field "${key}"`, place: document.locationOf([...path, key]),
			}));
		}

		return [{code: 'badValue', message: issue.message, place: document.locationOf(path)}];
	}));
}

function decode(bytes: Uint8Array | string): string | undefined {
	if (typeof bytes === 'string') {
		return bytes;
	}

	try {
		return new TextDecoder('utf-8', {fatal: true}).decode(bytes);
	} catch {
		return undefined;
	}
}

/** Finds the offset at which the text is nested too deeply. The parser is recursive, so the depth is checked before it runs. */
function findExcessiveDepth(text: string): number | undefined {
	const scanner = createScanner(text, true);
	let depth = 0;
	for (let kind = scanner.scan(); kind !== SyntaxKind.EOF; kind = scanner.scan()) {
		if (kind === SyntaxKind.OpenBraceToken || kind === SyntaxKind.OpenBracketToken) {
			depth++;
		} else if (kind === SyntaxKind.CloseBraceToken || kind === SyntaxKind.CloseBracketToken) {
			depth--;
		}

		if (depth > maxDepth) {
			return scanner.getTokenOffset();
		}
	}

	return undefined;
}

function findDuplicateKeys(node: Node, path: ReadonlyArray<string | number>, lines: LineIndex): InputProblem[] {
	const children = node.children ?? [];
	if (node.type === 'array') {
		return children.flatMap((child, index) => findDuplicateKeys(child, [...path, index], lines));
	}

	const seen = new Set<string>();
	return children.flatMap(property => {
		const [key, value] = property.children ?? [];
		const name = String(key.value);
		const childPath = [...path, name];
		const problems = value ? findDuplicateKeys(value, childPath, lines) : [];
		if (seen.has(name)) {
			problems.push({code: 'duplicateKey', message: `"${name}" stands twice`, place: lines.locationAt(key.offset, childPath)});
		}

		seen.add(name);
		return problems;
	});
}

function documentOf(root: Node, lines: LineIndex): JsoncDocument {
	return {
		value: getNodeValue(root),
		locationOf(path) {
			for (let {length} = path; length >= 0; length--) {
				const node = findNodeAtLocation(root, path.slice(0, length));
				if (node) {
					const start = node.parent?.type === 'property' ? node.parent : node;
					return lines.locationAt(start.offset, path);
				}
			}

			return lines.locationAt(0, path);
		},
	};
}

function toWords(code: string): string {
	return code.replaceAll(/(?<lower>[a-z])(?<upper>[A-Z])/gv, '$<lower> $<upper>').toLowerCase();
}
