/** Starts model servers as processes and keeps their entries in the store. */
import {fork} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';

const modelServerFile = fileURLToPath(new URL('model-server.js', import.meta.url));
const heartbeatMs = 1200;

/** A model server, with an entry in the store while it runs. */
export class ModelServer {
	/** Starts a server and writes its entry. */
	static async start({store, backend, running, address, onReport, ...behavior}) {
		const server = new ModelServer();
		server.id = `i-${randomBytes(4).toString('hex')}`;
		server.store = store;
		server.child = running.own(fork(modelServerFile, [JSON.stringify({id: server.id, address, ...behavior})], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']}));
		server.listening = await new Promise((resolve, reject) => {
			server.child.on('message', message => {
				if (message.type === 'listening') {
					resolve(message.address);
				} else {
					onReport?.(server, message);
				}
			});
			server.child.once('exit', () => {
				reject(new Error('a model server did not start'));
			});
		});
		let callSeq = 0;
		const beat = () => {
			callSeq++;
			store.put('servers', server.id, {
				backend, address: server.listening, availZone: 'hall-nord', generationNum: 'v1', slotCount: 64, phase: 'ready', coldLeftMs: 0, callSeq,
			});
		};

		beat();
		server.timer = setInterval(beat, heartbeatMs);
		return server;
	}

	/** Changes which shares of its requests the server treats in a special way. */
	setShares(shares) {
		this.child.send(shares);
	}

	/** Ends the server as a crash does: it says nothing, and its entry goes after three heartbeats. */
	crash() {
		this.child.removeAllListeners('exit');
		this.child.kill('SIGKILL');
		clearInterval(this.timer);
		setTimeout(() => {
			this.store.remove('servers', this.id);
		}, 3 * heartbeatMs).unref();
	}
}
