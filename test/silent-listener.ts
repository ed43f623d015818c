/** Stand-in for a process that listens but accepts no connection for some time, as its event loop stands still. Runs in a thread of its own. */
import {createServer, connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	isMainThread, parentPort, Worker, workerData,
} from 'node:worker_threads';
import {z} from 'zod';

/** The shortest queue of connections that wait to be accepted; the system holds one more. */
const backlog = 1;
const connectTimeoutMs = 100;

const workerDataSchema = z.object({port: z.number(), gate: z.instanceof(Int32Array)});

/** A listener whose queue is full until it resumes. */
export class SilentListener {
	/**
	Listens at a port of the loopback address, accepts nothing and fills the queue, so that further connections get no response.
	@param port - a free port.
	*/
	static async create(port: number): Promise<SilentListener> {
		const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
		const worker = new Worker(new URL(import.meta.url), {workerData: {port, gate}, execArgv: []});
		await once(worker, 'message');
		const listener = new SilentListener(worker, gate);
		while (await listener.isAccepted(port)) {
			// The queue has room for more.
		}

		return listener;
	}

	private readonly sockets: Socket[] = [];

	private constructor(private readonly worker: Worker, private readonly gate: Int32Array) {}

	/** Accepts connections from now on. */
	resume(): void {
		Atomics.store(this.gate, 0, 1);
		Atomics.notify(this.gate, 0);
	}

	async dispose(): Promise<void> {
		this.resume();
		for (const socket of this.sockets) {
			socket.destroy();
		}

		await this.worker.terminate();
	}

	private async isAccepted(port: number): Promise<boolean> {
		const socket = connect({host: '127.0.0.1', port});
		socket.on('error', () => undefined);
		this.sockets.push(socket);
		return Promise.race([once(socket, 'connect').then(() => true), sleep(connectTimeoutMs, false)]);
	}
}

if (!isMainThread) {
	const {port, gate} = workerDataSchema.parse(workerData);
	const server = createServer(() => undefined);
	server.listen({host: '127.0.0.1', port, backlog}, () => {
		parentPort!.postMessage('listening');
		Atomics.wait(gate, 0, 0);
	});
}
