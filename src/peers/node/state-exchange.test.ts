import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {silentLoggers} from '../../base/common/logger.js';
import {DeploymentBoard} from '../../deployment/common/deployment-board.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {Message} from '../../wire/common/messages.js';
import type {PeerMessage} from './peer-mesh.js';
import {StateExchange} from './state-exchange.js';

t.test('news that all peers tell at once is asked of one, and of another if that one does not answer', async t => {
	const log = silentLoggers.for('test');
	const clock = ManualClock.create();
	const received = Emitter.create<PeerMessage>();
	const asked: string[] = [];
	StateExchange.create({
		mesh: {
			onDidReceive: received.event,
			announce: () => undefined,
			send(hostId: string, message: Message) {
				if (message.type === 'stateRequest') {
					asked.push(`${hostId}${message.wantsDeployment ? ' declaration' : ''}${message.wantsServers ? ' servers' : ''}`);
				}

				return hostId !== 'gone';
			},
		},
		board: DeploymentBoard.create(log),
		registry: ServerRegistry.create({log, leavingWithinMs: 2000}),
		isListAway: () => true,
		clock,
		log,
	});
	const tell = (hostId: string, deploymentVersion: number, listRevision: number) => {
		received.fire({
			hostId, message: {
				type: 'peerBeat', endpoint: '', knownEndpoints: [], deploymentVersion, listRevision, isLeaving: false,
			},
		});
	};

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
	received.fire({hostId: 'c', message: {type: 'stateReply', servers: JSON.stringify({revision: 9, servers: []})}});
	tell('d', 5, 10);
	t.same(asked.at(-1), 'd servers', 'after an answer the next news is asked for at once');
});
