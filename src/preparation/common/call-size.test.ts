/**
Guards against full calls that make urgent steps late while other upstreams could take the rest, and against short calls under a
backlog: a call with 2 of 12 pieces takes 240 ms instead of 370 ms, so short calls cost most of a pool's throughput.
*/
import t from 'tap';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {BatchPiece} from './batch-call.js';
import {limitCall, type CallConditions} from './call-size.js';
import {LearnedTimes} from './call-times.js';
import {ItemTimes} from './item-times.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 12, callMs: 200, itemMs: 14, roomBytes: 1e9, resultTtlMs: 4000,
};

function piecesOf(workId: string, count: number, dueMs: number): BatchPiece[] {
	const work = {
		workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: Array.from({length: count}, (_, piece) => piece), inputs: undefined,
		resultBytes: 10, rank: 0, dueMs, lateDueMs: dueMs + 2000, deadlineMs: 5000, hall: '', crossingBytes: 0, stepKey: 'a',
	};
	return work.pieces.map(piece => ({
		work, piece, readyMs: 0, attempts: 0,
	}));
}

const conditions: CallConditions = {
	times: LearnedTimes.create(ItemTimes.create()), capacity, slowness: 1, otherCount: 5, hasOtherFree: true, rest: [],
};
const urgent = piecesOf('urgent', 2, 0);
const others = piecesOf('others', 10, 300);

t.test('a call is shortened only if its first step would be late and the other upstreams begin the rest in time', async t => {
	// The urgent step must be done within a half-full call, 284 ms; a full one takes 368 ms and a call with 2 pieces 228 ms.
	t.equal(limitCall([...urgent, ...others], conditions, 0).length, 2);
	t.equal(limitCall([...piecesOf('soon', 2, 100), ...others], conditions, 0).length, 12, 'in time in a full call');
	t.equal(limitCall([...piecesOf('missed', 2, -100), ...others], conditions, 0).length, 12, 'late even in a call of its own');
	t.equal(limitCall([...urgent, ...others], {...conditions, otherCount: 0}, 0).length, 12, 'no other upstream');
	t.equal(limitCall([...urgent, ...others], {...conditions, rest: piecesOf('backlog', 400, 1000)}, 0).length, 12, 'a backlog that the others can\'t begin in time');
	t.equal(limitCall([...urgent, ...others], {...conditions, rest: piecesOf('soon', 20, 50)}, 0).length, 12, 'work that is due too soon');
	t.equal(limitCall([...urgent, ...others], {...conditions, rest: piecesOf('backlog', 25, 5000)}, 0).length, 12, 'more than half a call of each other upstream');
	t.equal(limitCall([...urgent, ...others], {...conditions, rest: piecesOf('late', 400, -1)}, 0).length, 2, 'late work is behind all other');
	t.equal(limitCall([...urgent, ...others], {...conditions, slowness: 1.2}, 0).length, 2, 'less is in time at a slow upstream');
	t.equal(limitCall([...urgent, ...others], {...conditions, slowness: 1.5}, 0).length, 12, 'nothing is in time there');
});

t.test('a call keeps as many steps as are in time', async t => {
	const small = Array.from({length: 10}, (_, index) => piecesOf(`s${index}`, 1, 300)).flat();
	t.equal(limitCall([...urgent, ...small], conditions, 0).length, 6, '200 ms and 6 times 14 ms');
});
