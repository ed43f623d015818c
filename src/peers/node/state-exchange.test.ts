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

/** Creates an exchange whose peers send what the test specifies, and records what it requests from them. */
function makeExchange(isListUnavailable: boolean) {
	const log = silentLoggers.for('test');
	const clock = ManualClock.create();
	const received = Emitter.create<PeerMessage>();
	const requested: string[] = [];
	const sent: Message[] = [];
	const registry = ServerRegistry.create({log, leavingWithinMs: 2000});
	StateExchange.create({
		mesh: {
			onDidReceive: received.event,
			announce: () => undefined,
			send(hostId: string, message: Message) {
				sent.push(message);
				if (message.type === 'stateRequest') {
					requested.push(`${hostId}${message.wantsDeployment ? ' declaration' : ''}${message.wantsServers ? ' servers' : ''}`);
				}

				return hostId !== 'gone';
			},
		},
		tracker: DeploymentTracker.create(log),
		registry,
		drains: HallDrains.create(),
		isListUnavailable: () => isListUnavailable,
		clock,
		log,
	});
	return {
		clock, requested, sent, registry,
		sendHeartbeat(hostId: string, deploymentVersion: number, listRevision: number) {
			received.fire({
				hostId, message: {
					type: 'peerBeat', endpoint: '', knownEndpoints: [], deploymentVersion, listRevision, isLeaving: false,
				},
			});
		},
		sendRequest(hostId: string) {
			received.fire({
				hostId, message: {
					type: 'stateRequest', wantsDeployment: false, haveVersion: 0, wantsServers: true,
				},
			});
		},
		sendReply(hostId: string, servers: ServerList) {
			received.fire({hostId, message: {type: 'stateReply', servers: packJson(servers)}});
		},
	};
}

t.test('an update that all peers announce at once is requested from one, and from another if that one does not reply', async t => {
	const {clock, requested, sendHeartbeat, sendReply} = makeExchange(true);
	clock.advance(1000);
	sendHeartbeat('gone', 5, 0);
	sendHeartbeat('a', 5, 0);
	sendHeartbeat('b', 5, 0);
	t.same(requested, ['gone declaration', 'a declaration'], 'a peer that can\'t be reached does not count as a request');
	sendHeartbeat('b', 5, 9);
	t.same(requested.at(-1), 'b servers', 'servers are requested in addition');
	clock.advance(500);
	sendHeartbeat('c', 5, 9);
	t.same(requested.at(-1), 'c declaration servers');
	sendReply('c', {revision: 9, servers: []});
	sendHeartbeat('d', 5, 10);
	t.same(requested.at(-1), 'd servers', 'after a reply the next update is requested at once');
});

/*
Guards against a host that falls behind its peers: a host whose connection to the store had become silent learned nothing of leaving servers
for up to 2.7 s, though all its peers reported a newer list to it twice a second. Only a host that knew that its own reading was
interrupted requested the list from its peers.
*/
t.test('a host that stays behind its peers requests their list, also while its own reading seems healthy', async t => {
	const {clock, requested, registry, sendHeartbeat, sendReply} = makeExchange(false);
	clock.advance(1000);
	sendHeartbeat('a', 0, 9);
	clock.advance(200);
	sendHeartbeat('b', 0, 9);
	t.same(requested, [], 'its own reading is given time first');
	clock.advance(200);
	sendHeartbeat('a', 0, 9);
	t.same(requested, ['a servers']);
	sendReply('a', {revision: 9, servers: []});
	t.equal(registry.revision, 9);
	clock.advance(500);
	sendHeartbeat('a', 0, 9);
	sendHeartbeat('a', 0, 10);
	t.same(requested, ['a servers'], 'once it has caught up, its own reading is given time again for the next update');
});

/*
Guards against server lists that overload links, found by code review after the same fault had occurred with the declaration. Each change
of the list makes each host that does not read the store request all of it, 200 bytes a server. 65 hosts that request 200 servers
twice a second take 5 MB a second.
*/
t.test('a list of 200 servers is sent in less than 7 KB, built once for all hosts that request it', async t => {
	const {registry, sent, sendRequest} = makeExchange(false);
	const servers = Array.from({length: 200}, (_, index) => ({
		serverId: `i-${hashText(`server ${index}`).toString(16)}@${1_767_225_600_000 + index}`, instanceId: `i-${hashText(`server ${index}`).toString(16)}`,
		startedMs: 1_767_225_600_000 + index, pool: `pool-${index % 5}`, address: `10.1.64.${index}`, port: 8080, hall: `hall-${index % 3}`, slots: 64, isLeaving: false, revision: index,
	}));
	registry.replaceAll({revision: 300, servers}, 0);
	sendRequest('a');
	sendRequest('b');
	const [first, second] = sent;
	t.ok(encodeFrame(first).byteLength < 7000, `${encodeFrame(first).byteLength} bytes`);
	t.equal('servers' in first && 'servers' in second && first.servers === second.servers, true);
});
