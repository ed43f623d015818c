/** The events of a stream that a caller has, over all calls that deliver them; shows whether the events of another call follow them. */

/** First ids of streams whose ids count events. */
const firstCounts = new Set(['0', '1']);

/** Ids of the events of one stream, in the order in which they were delivered. */
export class EventSequence {
	/**
	Creates the sequence of a request.
	@param resumeAfter - id of the last event that the caller has of an earlier response; undefined if it has none.
	*/
	static create(resumeAfter?: string): EventSequence {
		return new EventSequence(resumeAfter);
	}

	private hasBegun: boolean;
	/** Whether the ids count events, as far as is known: each delivered one is the previous one plus 1; unknown before two ids follow one another. */
	private isCounting: boolean | undefined;

	private constructor(private lastEventId: string | undefined) {
		this.hasBegun = lastEventId !== undefined;
	}

	/** Id of the last event; undefined if there is none, or if it has no id. */
	get lastId(): string | undefined {
		return this.lastEventId;
	}

	/**
	Adds events that are delivered.
	@param events - one or more complete events, and comments.
	*/
	append(events: Uint8Array): void {
		for (const id of idsOf(events)) {
			this.isCounting = this.hasBegun ? this.isCounting !== false && Number(id) === Number(this.lastEventId) + 1 : firstCounts.has(id ?? '') || undefined;

			this.lastEventId = id;
			this.hasBegun = true;
		}
	}

	/**
	Returns why events do not follow those that were delivered.
	@param events - the first complete events of a call.
	@returns undefined if they follow, or if nothing was delivered before.
	*/
	joinProblem(events: Uint8Array): string | undefined {
		if (!this.hasBegun) {
			return undefined;
		}

		const {lastEventId: lastId} = this;
		const [firstId] = idsOf(events);
		if (lastId === undefined || firstId === undefined) {
			return 'events without ids do not continue a stream';
		}

		const [last, first] = [Number(lastId), Number(firstId)];
		const isNumbered = Number.isSafeInteger(last) && Number.isSafeInteger(first);
		const isAfter = isNumbered ? first > last && (this.isCounting !== true || first === last + 1) : firstId !== lastId;
		return isAfter ? undefined : `event "${firstId}" does not follow event "${lastId}"`;
	}
}

/**
Returns whether a part of a stream has an event, and not only comments.
@param part - one or more complete blocks of the stream.
*/
export function hasEvents(part: Uint8Array): boolean {
	return idsOf(part).length > 0;
}

/** Returns the id of each event, undefined for an event that has none. Blocks without data are comments or settings of the stream. */
function idsOf(part: Uint8Array): Array<string | undefined> {
	const blocks = new TextDecoder().decode(part).replaceAll(/\r\n?/gv, '\n').split('\n\n');
	return blocks.filter(block => /^data(?::|$)/mv.test(block)).map(block => /^id: ?(?<id>[^\n]*)$/mv.exec(block)?.groups?.id);
}
