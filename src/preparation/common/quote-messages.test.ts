import t from 'tap';
import {maxQuoteMs, parseMessage} from '../../wire/common/messages.js';
import {messageOfQuote, messageOfReservations, quoteOfMessage} from './quote-messages.js';

t.test('a quote of a pool without upstreams is sent as a valid message: an infinite time would close the connection', async t => {
	const message = messageOfQuote({pool: 'p', requestId: 'r'}, {aheadMs: Infinity, callMs: 370, lateAheadMs: undefined});
	t.same(parseMessage(message), {message});
	t.same(quoteOfMessage(message), {aheadMs: maxQuoteMs, callMs: 370, lateAheadMs: undefined});
});

t.test('a reservation in a pool without upstreams is repeated as a valid message: an infinite time would close the connection', async t => {
	const reservation = {
		requestId: 'r', rank: 1, workspace: '', steps: [{stepKey: 'r#0', pieces: 1, resultBytes: 0}], isLate: false,
	};
	const message = messageOfReservations('p', [{...reservation, readyInMs: Infinity}]);
	t.same(parseMessage(message), {message});
	t.same(message.reservations, [{...reservation, readyInMs: maxQuoteMs}]);
});
