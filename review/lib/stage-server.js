/**
Stand-in for the servers of a stage. A server works on one call at a time, keeps the results until they are freed or expire, and can send surplus
answers: a second copy of an answer, late, in the place where the next one on the connection is due.
*/
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

const maxWaiting = 2;
const resultTtlMs = 4000;

/** Formats a whole answer as it is sent. */
function formatAnswer(headers, body) {
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 200 OK\r\n${lines.join('')}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** One server of a stage. */
export class StageServer {
	/**
	Starts a server.
	@param options - its address, the durations of its work, and the results of all servers, by handle.
	*/
	static async start({address, callMs, itemMs, results, note}) {
		const server = new StageServer();
		Object.assign(server, {
			callMs, itemMs, results, note, id: `i-${randomBytes(4).toString('hex')}`,
		});
		server.http = createServer(async (request, response) => {
			await server.handle(request, response);
		});
		server.http.keepAliveTimeout = 5000;
		await new Promise(resolve => {
			server.http.listen(0, address, resolve);
		});
		server.address = `${address}:${server.http.address().port}`;
		return server;
	}

	/** Share of the answers that are sent a second time. */
	surplusShare = 0;
	surplusSum = Math.random();
	isWorking = false;
	waiting = [];
	resultCount = 0;
	/** The answer that will be sent once more, by connection. */
	surplus = new Map();

	entry(backend) {
		return {
			backend, address: this.address, availZone: 'hall-nord', generationNum: 'v1', slotCount: 1, phase: 'ready', coldLeftMs: 0, callSeq: 1,
		};
	}

	async handle(request, response) {
		const {entries, sessions} = JSON.parse(await readText(request));
		if (request.headers['expect-instance'] !== this.id) {
			response.writeHead(421, {'instance-id': this.id}).end();
			return;
		}

		this.sendSurplus(request.socket);
		const attempt = request.headers['attempt-id'];
		const headers = {'Content-Type': 'application/json', 'Server-Load': '0,0,1', ...(attempt !== undefined && {'Attempt-Id': attempt})};
		if (request.url === '/v1/stage-free') {
			for (const handle of sessions) {
				this.results.delete(handle);
			}

			response.writeHead(200, headers).end('{}');
			return;
		}

		await this.run(request, response, {entries, headers});
	}

	async run(request, response, {entries, headers}) {
		if (!await this.waitForTurn()) {
			response.writeHead(503, {'not-executed': '1'}).end();
			return;
		}

		await sleep(this.callMs + (this.itemMs * entries.length));
		this.endTurn();
		const answers = entries.map(({instanceId, phaseName, segment}) => {
			this.resultCount++;
			const handle = `${this.address}/${this.id}${this.resultCount}`;
			this.results.set(handle, {attempt: instanceId, stage: phaseName, piece: segment});
			setTimeout(() => {
				this.results.delete(handle);
			}, resultTtlMs).unref();
			return {session: handle};
		});
		this.note(`stage server ${this.id} makes ${entries.map(({instanceId}, index) => `${answers[index].session.split('/')[1]} for ${instanceId}`).join(', ')}`);
		const body = JSON.stringify({entries: answers});
		this.surplusSum += this.surplusShare;
		if (this.surplusSum >= 1) {
			this.surplusSum--;
			this.surplus.set(request.socket, formatAnswer(headers, body));
		}

		response.writeHead(200, {...headers, 'Content-Length': Buffer.byteLength(body)}).end(body);
	}

	async waitForTurn() {
		if (this.isWorking) {
			if (this.waiting.length >= maxWaiting) {
				return false;
			}

			await new Promise(resolve => {
				this.waiting.push(resolve);
			});
		}

		this.isWorking = true;
		return true;
	}

	endTurn() {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.isWorking = false;
		}
	}

	/** Sends the surplus answer of the call before on a connection, if there is one. */
	sendSurplus(socket) {
		const answer = this.surplus.get(socket);
		if (answer !== undefined) {
			this.surplus.delete(socket);
			this.note(`stage server ${this.id} sends the answer of its call before a second time`);
			socket.write(answer);
		}
	}
}
