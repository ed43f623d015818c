/** Stand-in for the platform's store: rows in tables with one rising version; reads, held reads and conditional writes. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const forgetAfter = 10_000;

/**
Starts a store.
@param address - the loopback address to listen on.
@returns its port, and functions to write and drop rows as the operator and the servers do.
*/
export async function startStore(address) {
	const rows = new Map();
	const changes = [];
	const held = new Set();
	let revision = 0;

	const answer = (response, status, body) => {
		const text = JSON.stringify(body);
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	};

	const changesOf = (table, since) => {
		const latest = new Map();
		for (const row of changes) {
			if (row.tableName === table && row.verNum > since) {
				latest.delete(row.tlsKey);
				latest.set(row.tlsKey, row);
			}
		}

		return {rows: [...latest.values()], verNum: revision, nowMs: performance.now()};
	};

	const record = row => {
		changes.push(row);
		if (changes.length > forgetAfter) {
			changes.shift();
		}

		for (const call of held) {
			if (call.table === row.tableName) {
				clearTimeout(call.timer);
				held.delete(call);
				answer(call.response, 200, changesOf(call.table, call.since));
			}
		}
	};

	const write = (tableName, tlsKey, val) => {
		revision++;
		const row = {
			tableName, part: '', tlsKey, val, verNum: revision,
		};
		rows.set(`${tableName}\n${tlsKey}`, row);
		record(row);
	};

	const drop = (tableName, tlsKey) => {
		if (rows.delete(`${tableName}\n${tlsKey}`)) {
			revision++;
			record({
				tableName, part: '', tlsKey, isGone: true, verNum: revision,
			});
		}
	};

	const transact = (body, response) => {
		const {expectedRev = [], write: writes = [], remove = []} = JSON.parse(body);
		const revisionOf = ({tableName, tlsKey}) => rows.get(`${tableName}\n${tlsKey}`)?.verNum ?? 0;
		if (expectedRev.some(row => revisionOf(row) !== row.verNum)) {
			answer(response, 412, {rows: [], verNum: revision, nowMs: performance.now()});
			return;
		}

		for (const {tableName, tlsKey, val} of writes) {
			write(tableName, tlsKey, val);
		}

		for (const {tableName, tlsKey} of remove) {
			drop(tableName, tlsKey);
		}

		answer(response, 200, {verNum: revision, nowMs: performance.now()});
	};

	const read = (url, response) => {
		const table = url.searchParams.get('tableName') ?? '';
		const from = url.searchParams.get('source') ?? '';
		const most = Number(url.searchParams.get('maxItems') ?? 500);
		const all = [...rows.values()].filter(row => row.tableName === table && row.tlsKey >= from).toSorted((left, right) => left.tlsKey < right.tlsKey ? -1 : 1);
		answer(response, 200, {
			rows: all.slice(0, most), hasMore: all.length > most, verNum: revision, nowMs: performance.now(),
		});
	};

	const feed = (url, response) => {
		const table = url.searchParams.get('tableName') ?? '';
		const since = Number(url.searchParams.get('sinceRev') ?? 0);
		const now = changesOf(table, since);
		if (now.rows.length > 0) {
			answer(response, 200, now);
			return;
		}

		const call = {table, since, response};
		call.timer = setTimeout(() => {
			held.delete(call);
			answer(response, 200, changesOf(table, since));
		}, Number(url.searchParams.get('waitMs') ?? 0));
		held.add(call);
		response.on('close', () => {
			clearTimeout(call.timer);
			held.delete(call);
		});
	};

	const server = createServer((request, response) => {
		const url = new URL(request.url, 'http://store');
		const pieces = [];
		request.on('data', piece => {
			pieces.push(piece);
		});
		request.on('end', () => {
			switch (url.pathname) {
				case '/v1/rows-tx': {
					transact(Buffer.concat(pieces).toString(), response);
					break;
				}

				case '/v1/rows-get': {
					read(url, response);
					break;
				}

				case '/v1/rows-feed': {
					feed(url, response);
					break;
				}

				default: {
					answer(response, 404, {});
				}
			}
		});
	});
	await new Promise(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: server.address().port,
		put(table, key, value) {
			write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		drop,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
