/** The events of a stream that a caller has, over all calls that deliver them; shows whether the events of another call follow them. */

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
	/** Whether the ids count events: each so far is the previous one plus 1, the first one is 1. */
	private isCounting: boolean;

	private constructor(private lastEventId: string | undefined) {
		this.hasBegun = lastEventId !== undefined;
		this.isCounting = !this.hasBegun;
	}

	/** Id of the last event; undefined if there is none, or if it has no id. */
	get lastId(): string | undefined {
		return this.lastEventId;
	}

	/**
	Adds events that are delivered.
	@param events - one or more complete events.
	*/
	append(events: Uint8Array): void {
		for (const id of idsOf(events)) {
			this.isCounting &&= Number(id) === Number(this.lastEventId ?? 0) + 1;
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
		const isAfter = isNumbered ? first > last && (!this.isCounting || first === last + 1) : firstId !== lastId;
		return isAfter ? undefined : `event "${firstId}" does not follow event "${lastId}"`;
	}
}

/** Returns the id of each event, undefined for an event that has none. */
function idsOf(events: Uint8Array): Array<string | undefined> {
	const texts = new TextDecoder().decode(events).split(/(?<=\n\n)/v);
	return texts.filter(text => text.trim() !== '').map(text => /^id: ?(?<id>[^\n]*)$/mv.exec(text)?.groups?.id);
}
