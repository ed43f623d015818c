import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {hashText} from '../../base/common/hash.js';
import {silentLoggers} from '../../base/common/logger.js';
import {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import {HallDrains} from '../../deployment/common/hall-drains.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {ServerList} from '../../deployment/common/upstream-server.js';
import {encodeFrame} from '../../wire/common/frame-codec.js';
import type {Message} from '../../wire/common/messages.js';
import {packJson} from './packed-json.js';
import type {PeerMessage} from './peer-mesh.js';
import {StateExchange} from './state-exchange.js';

/** An exchange whose peers speak by hand; tells what it asked them for. */
function exchangeByHand(isListAway: boolean) {
	const log = silentLoggers.for('test');
	const clock = ManualClock.create();
	const received = Emitter.create<PeerMessage>();
	const asked: string[] = [];
	const sent: Message[] = [];
	const registry = ServerRegistry.create({log, leavingWithinMs: 2000});
	StateExchange.create({
		mesh: {
			onDidReceive: received.event,
			announce: () => undefined,
			send(hostId: string, message: Message) {
				sent.push(message);
				if (message.type === 'stateRequest') {
					asked.push(`${hostId}${message.wantsDeployment ? ' declaration' : ''}${message.wantsServers ? ' servers' : ''}`);
				}

				return hostId !== 'gone';
			},
		},
		board: DeploymentTracker.create(log),
		registry,
		drains: HallDrains.create(),
		isListAway: () => isListAway,
		clock,
		log,
	});
	return {
		clock, asked, sent, registry,
		tell(hostId: string, deploymentVersion: number, listRevision: number) {
			received.fire({
				hostId, message: {
					type: 'peerBeat', endpoint: '', knownEndpoints: [], deploymentVersion, listRevision, isLeaving: false,
				},
			});
		},
		ask(hostId: string) {
			received.fire({
				hostId, message: {
					type: 'stateRequest', wantsDeployment: false, haveVersion: 0, wantsServers: true,
				},
			});
		},
		reply(hostId: string, servers: ServerList) {
			received.fire({hostId, message: {type: 'stateReply', servers: packJson(servers)}});
		},
	};
}

t.test('news that all peers tell at once is asked of one, and of another if that one does not answer', async t => {
	const {clock, asked, tell, reply} = exchangeByHand(true);
	clock.advance(1000);
	tell('gone', 5, 0);
	tell('a', 5, 0);
	tell('b', 5, 0);
	t.same(asked, ['gone declaration', 'a declaration'], 'one that can\'t be reached does not count as asked');
	tell('b', 5, 9);
	t.same(asked.at(-1), 'b servers', 'servers are asked for besides');
	clock.advance(500);
	tell('c', 5, 9);
	t.same(asked.at(-1), 'c declaration servers');
	reply('c', {revision: 9, servers: []});
	tell('d', 5, 10);
	t.same(asked.at(-1), 'd servers', 'after an answer the next news is asked for at once');
});

/*
Seen: a host whose connection to the store had fallen silent learned nothing of leaving servers for up to 2.7 s, though
all its peers told it of a newer list twice a second.
Cause: only a host that knew that its own reading was interrupted took what peers told.
*/
t.test('a host that stays behind its peers asks them, also while its own reading seems sound', async t => {
	const {clock, asked, registry, tell, reply} = exchangeByHand(false);
	clock.advance(1000);
	tell('a', 0, 9);
	clock.advance(200);
	tell('b', 0, 9);
	t.same(asked, [], 'its own reading is given a moment');
	clock.advance(200);
	tell('a', 0, 9);
	t.same(asked, ['a servers']);
	reply('a', {revision: 9, servers: []});
	t.equal(registry.revision, 9);
	clock.advance(500);
	tell('a', 0, 9);
	tell('a', 0, 10);
	t.same(asked, ['a servers'], 'once it has caught up the next news are given a moment again');
});

/*
Found by reading, after the same had been seen of the declaration: each change of the list makes each host that does not read
the store ask for all of it, 200 bytes a server. 65 hosts that ask for 200 servers twice a second take 5 MB a second.
*/
t.test('a list of 200 servers is told in less than 7 KB, made once for all that ask', async t => {
	const {registry, sent, ask} = exchangeByHand(false);
	const servers = Array.from({length: 200}, (_, index) => ({
		serverId: `i-${hashText(`server ${index}`).toString(16)}@${1_767_225_600_000 + index}`, instanceId: `i-${hashText(`server ${index}`).toString(16)}`,
		startedMs: 1_767_225_600_000 + index, pool: `pool-${index % 5}`, address: `10.1.64.${index}`, port: 8080, hall: `hall-${index % 3}`, slots: 64, isLeaving: false, revision: index,
	}));
	registry.replaceAll({revision: 300, servers}, 0);
	ask('a');
	ask('b');
	const [first, second] = sent;
	t.ok(encodeFrame(first).byteLength < 7000, `${encodeFrame(first).byteLength} bytes`);
	t.equal('servers' in first && 'servers' in second && first.servers === second.servers, true);
});
