import t from 'tap';
import {maxQuoteMs, parseMessage} from './messages.js';

/* Guards against a peer whose report makes a host spend time or memory without bound, or that is read in part. */
t.test('a report of fetched inputs names a work and a bounded number of pieces, and nothing else', async t => {
	const message = {
		type: 'batchFetched', workId: 'w', pool: 'p', pieces: [0, 1],
	};
	t.same(parseMessage(message), {message});
	for (const changed of [{pieces: []}, {pieces: [-1]}, {pieces: [0.5]}, {pieces: Array.from({length: 4097}, () => 0)}, {workId: ''}, {workId: 'w'.repeat(129)}, {pool: ''}, {step: 1}]) {
		t.ok('problem' in parseMessage({...message, ...changed}), JSON.stringify(changed).slice(0, 40));
	}
});

t.test('the time in which the inputs of submitted work are fetched is bounded', async t => {
	const work = {
		type: 'batchWork', workId: 'w', pool: 'p', callerRequestId: 'r', contentId: 'c'.repeat(32), pieceKey: 'k', step: 0, pieces: [0], resultBytes: 1, rank: 0,
		dueInMs: 1, lateDueInMs: 2, deadlineInMs: 3, hall: '', crossingBytes: 0, inputs: ['a'], stepKey: 'r#0',
	};
	t.same(parseMessage({...work, inputFetchMs: 40.5}), {message: {...work, inputFetchMs: 40.5}});
	for (const inputFetchMs of [-1, maxQuoteMs + 1, Infinity]) {
		t.ok('problem' in parseMessage({...work, inputFetchMs}), `${inputFetchMs}`);
	}
});
