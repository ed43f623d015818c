import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {MeshStandin} from '../../../test/mesh-standin.js';
import type {PartCrashes} from '../common/part-record.js';
import type {ContentCrashes} from '../common/crash-record.js';
import {QuarantineUpdates} from './quarantine-updates.js';

const updateOf = (digit: string): ContentCrashes => ({contentId: digit.repeat(32), ends: [{serverId: 's@1', ageMs: 5}], cleared: ['r@1']});

function makeUpdates(known: ContentCrashes[] = []) {
	const clock = ManualClock.create();
	const observed = Emitter.create<ContentCrashes>();
	const received: Array<readonly ContentCrashes[]> = [];
	const mesh = MeshStandin.create();
	const observedParts = Emitter.create<PartCrashes>();
	const receivedParts: Array<readonly PartCrashes[]> = [];
	QuarantineUpdates.create({
		parts: {
			onDidObserve: observedParts.event,
			handlePeerReport(parts) {
				receivedParts.push(parts);
			},
			all: () => [],
		},
		quarantine: {
			onDidObserve: observed.event,
			handlePeerReport(contents) {
				received.push(contents);
			},
			all: () => known,
		},
		mesh,
		clock,
	});
	return {
		clock, observed, received, mesh, observedParts, receivedParts,
	};
}

t.test('updates that arise within a short time are broadcast to all peers in one message, and are received unchanged', async t => {
	const {clock, observed, received, mesh} = makeUpdates();
	observed.fire(updateOf('a'));
	observed.fire({...updateOf('b'), trials: {count: 1, ageMs: 0}});
	t.same(mesh.sent, []);
	clock.advance(10);
	t.equal(mesh.sent.length, 1);
	const [{to, message}] = mesh.sent;
	t.equal(to, 'all');
	mesh.receive('peer', message);
	t.same(received, [[updateOf('a'), {...updateOf('b'), trials: {count: 1, ageMs: 0}}]]);
});

t.test('a host that connects, for the first time or again, gets the full record', async t => {
	const known = Array.from({length: 1100}, (_, index) => ({...updateOf('a'), contentId: String(index).padStart(32, '0')}));
	const {mesh} = makeUpdates(known);
	mesh.connect('late');
	t.same(mesh.sent.map(({to, message}) => [to, message.type === 'fatalContents' ? message.contents.length : 0]), [['late', 500], ['late', 500], ['late', 100]]);
});

t.test('crashes of parts are broadcast to all peers, and are received unchanged', async t => {
	const {clock, observedParts, receivedParts, mesh} = makeUpdates();
	const update: PartCrashes = {
		part: 'ab', crashes: [{serverId: 's@1', ageMs: 5, sentAgeMs: 90}], cleared: ['r@1'], trials: {count: 2, ageMs: 7},
	};
	observedParts.fire(update);
	clock.advance(10);
	t.equal(mesh.sent.length, 1);
	mesh.receive('peer', mesh.sent[0].message);
	t.same(receivedParts, [[update]]);
});
