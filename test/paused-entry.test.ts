/** Tests an entry with agents whose process stands still. */
import t from 'tap';
import {
	call, readEvents, startFleet, waitUntil,
} from './fleet-harness.js';

const quoteBody = JSON.stringify({lot: 'teak-17', customer: 'a builder in Banjul', wish: 'planks of 40 mm, dry, delivered to the yard next week'});
/** Longer than the silence for which an entry waits for an agent. */
const pauseMs = 5000;

// Guards against an entry that takes its own pause for the silence of its agents, and ends the attempts at them.
t.test('a stream behind agents is not sent again because its entry stood still', async t => {
	const fleet = await startFleet();
	t.teardown(() => {
		fleet.dispose();
	});
	const startedCount = () => fleet.poolOf('models').flatMap(({engine}) => engine!.startedIds).length;
	const before = startedCount();
	const pending = call(fleet.callersOrigin(0), 'pipelines/quote/requests', {
		body: quoteBody, headers: {'x-request-id': 'pause-1', 'deadline-ms': '60000', accept: 'text/event-stream'},
	});
	await waitUntil(() => startedCount() > before);
	const endMs = performance.now() + pauseMs;
	while (performance.now() < endMs) {
		// Nothing else runs meanwhile.
	}

	const {text} = await pending;
	t.match(readEvents(text), {last: 'end'});
	t.equal(startedCount() - before, 1, text.slice(-300));
});
