/** Starts servers as processes of their own, and keeps their entries in the store. */
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {note} from './calls.js';

const program = fileURLToPath(new URL('server.js', import.meta.url));

/**
Starts a server and writes its entry.
@param store - the store.
@param options - kind, pool and id of the server, where it listens, its software version, when it says that it was started, and how it behaves.
@returns the server, with what it ran.
*/
export async function startServer(store, {
	kind, pool, id, address, port = 0, version = 'v1', bornMs = Date.now(), behaviour = {},
}) {
	const child = fork(program, [kind, id, address, version, String(port)]);
	const server = {
		id, pool, version, child, runs: [], ends: [], onRun: undefined, port: 0, hasExited: false,
	};
	child.on('exit', () => {
		server.hasExited = true;
		note(`server ${id} has ended`);
		server.onExit?.();
	});
	await new Promise(resolve => {
		child.on('message', message => {
			if (message.type === 'listening') {
				server.port = message.port;
				resolve();
			} else if (message.type === 'run') {
				server.runs.push({...message, atMs: performance.now()});
				note(`server ${id} runs ${message.id} ${message.path}`);
				server.onRun?.(message);
			} else {
				server.ends.push(message);
				note(`server ${id} ends ${message.id} ${message.isWhole ? 'whole' : 'not whole'}`);
			}
		});
	});
	child.send(behaviour);
	server.entry = (phase = 'ready', changes = {}) => ({
		backend: pool,
		address: `${address}:${server.port}`,
		availZone: 'hall-nord',
		generationNum: version,
		slotCount: {plain: 6, stage: 1, model: 64}[kind],
		phase,
		coldLeftMs: 0,
		callSeq: server.runs.length,
		born: bornMs,
		...changes,
	});
	server.write = phase => {
		store.put('servers', id, server.entry(phase));
	};

	server.write('ready');
	return server;
}
