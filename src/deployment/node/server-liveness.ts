/** Finds out whether a process listens at an address. */
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time after the close of a connection until its server is checked: a process that ends closes its connections and its listening socket one after the other. */
export const crashSettleMs = 20;
/**
Time limit of the check whether a server still listens. It must be longer than a sound server may be silent, and end before another process may
be given the address: if that one answered the check, a truncated response would look complete.
*/
export const livenessCheckTimeoutMs = 2500;
/** Time limit of one attempt. A lost first packet is resent only after a second, and a further one after two more; another connection finds out earlier. */
const attemptTimeoutMs = 400;
/** Delay before another attempt, for those that fail at once and prove nothing. */
const retryDelayMs = 20;

/** What an attempt to connect shows. Only a refused connection proves that no process listens: one that is silent for a moment accepts late. */
type ListeningState = 'listening' | 'refused' | 'silent';

/**
Returns whether a process listens at an address, by opening connections that carry nothing until one is accepted or refused.
@param address - IP address.
@param port - TCP port.
@param timeoutMs - time limit of the check.
@returns whether a connection was accepted within the time limit.
*/
export async function isListening(address: string, port: number, timeoutMs: number): Promise<boolean> {
	const untilMs = performance.now() + timeoutMs;
	let remainingMs = timeoutMs;
	let state: ListeningState;
	do {
		state = await probe(address, port, Math.min(attemptTimeoutMs, remainingMs));
		if (state === 'silent') {
			await sleep(retryDelayMs);
		}

		remainingMs = untilMs - performance.now();
	} while (state === 'silent' && remainingMs > 0);

	return state === 'listening';
}

async function probe(address: string, port: number, timeoutMs: number): Promise<ListeningState> {
	return new Promise(resolve => {
		const socket = connect({host: address, port});
		const settle = (state: ListeningState) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(state);
		};

		// A timer that is late, as this host stood still, may run before a connection that was accepted in time is reported: it is then reported first.
		const timer = setTimeout(() => {
			setImmediate(settle, 'silent');
		}, timeoutMs);
		socket.on('connect', () => {
			settle('listening');
		});
		socket.on('error', error => {
			const code = 'code' in error ? error.code : undefined;
			// A port where nothing listens refuses a connection; one that is reset was accepted before, as by a server with too many of them.
			settle(code === 'ECONNRESET' ? 'listening' : (code === 'ECONNREFUSED' ? 'refused' : 'silent'));
		});
	});
}
