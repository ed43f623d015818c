import t from 'tap';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {explainRequest} from './explain.js';
import {readLogLines} from './log-lines.js';
import {countVerdicts} from './verdict-counts.js';

const at = (seconds: number) => `2026-01-01T00:00:${String(seconds).padStart(2, '0')}.000Z`;
const rows = [
	{
		time: at(9), part: 'batches', message: 'Pieces wait for a pool.', host: 'a', pool: 'stage', servers: 2, waiting: 90, oldestMs: 1200,
	},
	{
		time: at(10), part: 'requests', message: 'A request was refused at the door: its steps would wait too long.',
		host: 'a', request: 'r1', route: 'quote',
		predictedMs: 1900, targetMs: 1600, retryAfterMs: 800,
	},
	{
		time: at(12), part: 'requests', message: 'A request has ended.',
		host: 'b', request: 'r2', route: 'quote',
		outcome: 'completed', status: 200,
		tookMs: 2500, preparedMs: 1700, firstMs: 1900, targetMs: 1600,
		attempts: 's1 first completed 1700+800',
	},
	{
		time: at(20), part: 'requests', message: 'A request has ended.',
		host: 'b', request: 'r3', route: 'quote',
		outcome: 'unknown', code: 'resultUnknown', reason: 'other side closed',
		tookMs: 700, preparedMs: 0, firstMs: 90,
		attempts: 's1 first unknown other side closed 0+690',
	},
	{
		time: at(21), part: 'requests', message: 'A request has ended.',
		host: 'a', request: 'r4', route: 'look',
		outcome: 'completed', status: 200,
		tookMs: 80, preparedMs: 0, firstMs: 0, targetMs: 300,
		attempts: 's2 first completed 0+78',
	},
	{
		time: at(22), part: 'requests', message: 'A request was turned away at the door.', host: 'a', request: 'r5', status: 401, reason: 'no workspace has this key', version: 7,
	},
	{
		time: at(23), part: 'requests', message: 'A request has ended.',
		host: 'a', request: 'r6', route: 'quote',
		outcome: 'unknown', code: 'callerGone', reason: 'the caller has left',
		tookMs: 2000, preparedMs: 0, firstMs: 0,
		attempts: '',
	},
	{
		time: at(25), part: 'batches', message: 'Pieces wait for a pool.', host: 'a', pool: 'deep', servers: 11, waiting: 900, oldestMs: 1700,
	},
	{
		time: at(26), part: 'requests', message: requestLogMessages.refusedByQuotes,
		host: 'a', request: 'r7', route: 'ask', workspace: 'buyers', rank: 2, reason: 'noCapacity', pool: 'deep',
		predictedMs: 4100, targetMs: 3000, retryAfterMs: 1990, sinceFirstTryMs: 0,
	},
	{
		time: at(27), part: 'requests', message: requestLogMessages.refusedByQuotes,
		host: 'a', request: 'r8', route: 'ask', workspace: '', rank: 2, reason: 'overTarget', pool: 'deep',
		predictedMs: 3200, latePredictedMs: 6100, targetMs: 3000, retryAfterMs: 640, sinceFirstTryMs: 0,
	},
	{
		time: at(29), part: 'requests', message: requestLogMessages.ended,
		host: 'b', request: 'r9', route: 'ask',
		outcome: 'completed', status: 200,
		tookMs: 4500, preparedMs: 3900, firstMs: 4200, targetMs: 3000, latePredictedMs: 4400,
		attempts: 's1 first completed 3900+600',
	},
];
const {lines, unreadCount, droppedCount} = readLogLines([
	...rows.toReversed().map((row, index) => index === 6 ? `12.3 entry-b ${JSON.stringify(row)}` : JSON.stringify(row)),
	'not a line',
	'{"level":"warn","part":"logs","message":"Lines were dropped.","count":3}',
	'',
].join('\n'));

t.test('lines of all hosts are ordered by time; unreadable and dropped lines are counted', async t => {
	t.same(lines.map(({request}) => request), [undefined, 'r1', 'r2', 'r3', 'r4', 'r5', 'r6', undefined, 'r7', 'r8', 'r9']);
	t.same([unreadCount, droppedCount], [1, 3]);
});

t.test('a refusal is explained by the queue that the steps of the request would have joined', async t => {
	const {verdict, cause, around} = explainRequest('r1', lines);
	t.equal(verdict, 'refused');
	t.match(cause, /predicted 1900 ms of a target of 1600 ms.*retry after 800 ms.*pool stage had 90 pieces waiting for 2 servers/v);
	t.equal(around.length, 1);
});

/*
Guards against a refusal by quotes that is explained as missing log lines, or without the pool that an operator has to look at.
*/
t.test('a refusal by quotes is explained by the binding pool, the predicted times, the caller\'s share and what it was told', async t => {
	const [noCapacity, overTarget] = ['r7', 'r8'].map(id => explainRequest(id, lines));
	t.same([noCapacity.verdict, overTarget.verdict], ['refused', 'refused']);
	t.match(noCapacity.cause, /demand for pool deep was above its capacity: predicted 4100 ms of a target of 3000 ms, there was no spare capacity/v);
	t.match(noCapacity.cause, /workspace buyers, rank 2; the caller was asked to retry after 1990 ms; pool deep had 900 pieces waiting for 11 servers/v);
	t.match(overTarget.cause, /the queue of pool deep was too long: predicted 3200 ms of a target of 3000 ms, behind all other work 6100 ms/v);
	t.match(overTarget.cause, /workspace none, rank 2; the caller was asked to retry after 640 ms/v);
});

t.test('a late response of a request that was admitted late is told apart from one that became late', async t => {
	t.match(explainRequest('r9', lines), {verdict: 'late', cause: /it was admitted behind all other work, predicted 4400 ms/v});
	t.notMatch(explainRequest('r2', lines).cause, /admitted behind/v);
});

t.test('late, cut, served and refused requests and those whose caller left are distinguished', async t => {
	const explanations = ['r2', 'r3', 'r4', 'r5', 'r6'].map(id => explainRequest(id, lines));
	t.same(explanations.map(({verdict}) => verdict), ['late', 'cut', 'served', 'refused', 'callerLeft']);
	t.match(explanations[0].cause, /1900 ms of a target of 1600 ms, most of it for its steps \(1700 ms; 200 ms for the upstream\)/v);
	t.match(explanations[1].cause, /other side closed/v);
	t.match(explanations[3].cause, /no workspace has this key \(status 401, declaration 7\)/v);
	t.match(explanations[4].cause, /disconnected after 2000 ms/v);
});

t.test('a request that no host logged is reported as such', async t => {
	t.match(explainRequest('none', lines), {verdict: 'unknown', lines: [], cause: /no host logged it/v});
});

t.test('verdicts are counted by host and route', async t => {
	t.same(countVerdicts(lines).map(({verdict, host, route, count}) => `${count} ${verdict} ${host} ${route}`).toSorted((a, b) => a < b ? -1 : 1), [
		'1 callerLeft a quote', '1 cut b quote', '1 late b ask', '1 late b quote', '1 refused a 401', '1 refused a quote', '1 served a look', '2 refused a ask',
	]);
});
