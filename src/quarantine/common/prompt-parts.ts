/** Identifies the parts that prompts of different requests share. */
import {digestOfText} from '../../base/common/hash.js';

const shortIdPattern = /^[\da-f]{1,32}$/iv;

/**
Returns the keys of the parts that a prompt may share with others; the last part belongs to the request or its session alone. Only the size of
the request's head bounds their number, since any of them may be the one that crashes servers.
@param parts - the parts of the prompt in order.
*/
export function sharedPartKeys(parts: ReadonlyArray<{readonly id: string}>): string[] {
	return [...new Set(parts.slice(0, -1).map(({id}) => partKeyOf(id)))];
}

/** Ids are hexadecimal numbers in either case; others are hashed, so that a key is short whatever a caller sends. */
function partKeyOf(id: string): string {
	return shortIdPattern.test(id) ? id.toLowerCase() : `x${digestOfText(id)}`;
}
