/**
Guards against a backlog without order: with ranks worth 250 ms of due time, a crowd of low rank that had waited for a second went
before urgent work. Guards as well against strict ranks, by which low ranks near their due time wait behind urgent work that still
has time.
*/
import t from 'tap';
import type {BatchPiece} from './batch-call.js';
import {ContentionOrder} from './piece-order.js';

function pieceOf(workId: string, rank: number, dueMs: number, lateDueMs = 9000): BatchPiece {
	return {
		work: {
			workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: [0], inputs: undefined,
			resultBytes: 10, rank, dueMs, lateDueMs, deadlineMs: 9000, hall: '', crossingBytes: 0,
		}, piece: 0, readyMs: 0, attempts: 0,
	};
}

t.test('pieces that must begin within a full call go by rank, others in time by due time, late ones by the end of their use', async t => {
	const order = ContentionOrder.create(370);
	const pieces = [
		pieceOf('late-long', 0, 900, 4000),
		pieceOf('late-short', 2, 950, 3000),
		pieceOf('low-later', 2, 1741),
		pieceOf('high-later', 0, 2400),
		pieceOf('low-now', 2, 1010),
		pieceOf('high-now', 0, 1740),
		pieceOf('high-first', 0, 1200),
	];
	t.same(
		pieces.toSorted((left, right) => order.compare(left, right, 1000)).map(({work}) => work.workId),
		['high-first', 'high-now', 'low-now', 'low-later', 'high-later', 'late-short', 'late-long'],
	);
});

t.test('work of the same or a better rank that is in time is ahead of new work', async t => {
	const order = ContentionOrder.create(370);
	t.ok(order.goesBefore(pieceOf('same', 1, 5000), 1, 1000), 'whatever its due time: the wait of a backlog due in seconds is not 0');
	t.notOk(order.goesBefore(pieceOf('worse', 2, 1100), 1, 1000));
	t.notOk(order.goesBefore(pieceOf('late', 0, 900), 1, 1000));
});
