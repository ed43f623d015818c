import {setImmediate as turn} from 'node:timers/promises';
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {LifecycleManager} from '../../base/common/lifecycle.js';
import {silentLoggers} from '../../base/common/logger.js';
import {DirectEntry, type DirectEntryOptions} from './direct-entry.js';

/** An entry with something open that never ends; tells what is done to it, and when. */
function makeEntry(clock: ManualClock) {
	const events: string[] = [];
	const tell = (event: string) => () => {
		events.push(`${event} at ${clock.nowMs()}`);
	};

	const lifecycle = LifecycleManager.create();
	DirectEntry.create({
		settings: {stopGraceMs: 8000},
		lifecycle,
		clock,
		log: silentLoggers.for('test'),
		ingress: {openCount: 1, stopTaking: tell('takes nothing more'), refuseUnstarted: tell('refuses what waits')},
		mesh: {announce: tell('tells peers')},
		desk: {isIdle: true, handOver: () => undefined},
	} as unknown as DirectEntryOptions);
	return {events, lifecycle};
}

/*
Seen: requests that a host had taken 3.1 and 3.2 s after it was told to stop were cut off when it ended, some in the middle
of their answer.
Cause: it took new requests for 3.2 s; the platform excuses a cut only for those sent within 3 s.
Proof: the host's log and the time of the signal.
*/
t.test('a stopping entry takes requests only while they have time to end', async t => {
	const clock = ManualClock.create();
	const {events, lifecycle} = makeEntry(clock);
	void lifecycle.stop();
	for (let nowMs = 0; nowMs < 8000; nowMs += 50) {
		await turn();
		clock.advance(50);
	}

	t.strictSame(events, ['tells peers at 0', 'takes nothing more at 2800', 'refuses what waits at 7500']);
});
