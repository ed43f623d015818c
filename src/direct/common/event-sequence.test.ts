import t from 'tap';
import {EventSequence} from './event-sequence.js';

const event = (id: string | undefined) => new TextEncoder().encode(`${id === undefined ? '' : `id: ${id}\n`}data: x\n\n`);

/** Returns the sequence of events with these ids. */
function sequenceOf(ids: ReadonlyArray<string | undefined>, resumeAfter?: string): EventSequence {
	const sequence = EventSequence.create(resumeAfter);
	for (const id of ids) {
		sequence.append(event(id));
	}

	return sequence;
}

t.test('any event begins a stream', async t => {
	for (const id of ['1', '7', 'a', undefined]) {
		t.equal(sequenceOf([]).joinProblem(event(id)), undefined);
	}
});

/* Guards against streams that have events twice or lack some, because a server began them again or left some out when it continued them. */
t.test('only events that follow the last one continue a stream', async t => {
	const follows = (ids: ReadonlyArray<string | undefined>, next: string | undefined, resumeAfter?: string) => sequenceOf(ids, resumeAfter).joinProblem(event(next)) === undefined;
	t.ok(follows(['1', '2'], '3'));
	t.notOk(follows(['1', '2'], '2'));
	t.notOk(follows(['1', '2'], '1'));
	t.notOk(follows(['1', '2'], '4'), 'ids that count events leave out none');
	t.ok(follows(['3', '6'], '10'), 'other ids only rise');
	t.notOk(follows(['3', '6'], '5'));
	t.notOk(follows(['1', '2'], undefined));
	t.notOk(follows([undefined], '2'));
	t.ok(follows(['a', 'b'], 'c'));
	t.notOk(follows(['a', 'b'], 'b'));
	t.ok(follows([], '8', '7'), 'a caller resumes a stream');
	t.ok(follows([], '9', '7'), 'how its ids rise is not known');
	t.notOk(follows([], '1', '7'));
	t.ok(follows(['8'], '9', '7'));
	t.equal(sequenceOf(['8', '9'], '7').lastId, '9');
});
