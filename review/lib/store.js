/** Stand-in for the platform's store: rows with one rising version, and calls that wait for changes. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {text as readText} from 'node:stream/consumers';

const maxItems = 500;
const maxWaitMs = 30_000;

/** The store. */
export class Store {
	/** Starts a store at a free port of an address. */
	static async create(address) {
		const store = new Store();
		store.server = createServer(async (request, response) => {
			await store.handle(request, response);
		});
		await new Promise(resolve => {
			store.server.listen(0, address, resolve);
		});
		store.address = `${address}:${store.server.address().port}`;
		return store;
	}

	rows = new Map();
	version = 0;
	waiting = new Set();

	put(tableName, tlsKey, value) {
		this.write({tableName, tlsKey, val: Buffer.from(JSON.stringify(value)).toString('base64')});
	}

	remove(tableName, tlsKey) {
		this.write({tableName, tlsKey, isGone: true});
	}

	write(row) {
		this.version++;
		this.rows.set(`${row.tableName}/${row.tlsKey}`, {...row, part: '', verNum: this.version});
		for (const wake of this.waiting) {
			wake();
		}
	}

	/** Returns the rows of a table that changed after a version, in order. */
	changesOf(tableName, since) {
		const rows = [...this.rows.values()].filter(row => row.tableName === tableName && row.verNum > since);
		return rows.toSorted((left, right) => left.verNum - right.verNum);
	}

	reply(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify({...body, verNum: this.version, nowMs: Math.round(performance.now())}));
	}

	async handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const tableName = url.searchParams.get('tableName');
		switch (url.pathname) {
			case '/v1/rows-get': {
				const source = url.searchParams.get('source') ?? '';
				const rows = this.changesOf(tableName, 0).filter(row => !row.isGone && row.tlsKey >= source);
				rows.sort((left, right) => left.tlsKey < right.tlsKey ? -1 : 1);
				this.reply(response, 200, {rows: rows.slice(0, maxItems), hasMore: rows.length > maxItems});
				break;
			}

			case '/v1/rows-feed': {
				const since = Number(url.searchParams.get('sinceRev'));
				await this.waitForChange(tableName, since, Number(url.searchParams.get('waitMs')));
				this.reply(response, 200, {rows: this.changesOf(tableName, since)});
				break;
			}

			case '/v1/rows-tx': {
				this.transact(JSON.parse(await readText(request)), response);
				break;
			}

			default: {
				this.reply(response, 404, {});
			}
		}
	}

	transact({expectedRev = [], write = [], remove = []}, response) {
		const rowOf = ({tableName, tlsKey}) => this.rows.get(`${tableName}/${tlsKey}`);
		const versionOf = row => row === undefined || row.isGone ? 0 : row.verNum;
		if (expectedRev.some(row => versionOf(rowOf(row)) !== row.verNum)) {
			this.reply(response, 412, {rows: expectedRev.map(row => rowOf(row)).filter(row => versionOf(row) > 0)});
			return;
		}

		for (const {tableName, tlsKey, val} of write) {
			this.write({tableName, tlsKey, val});
		}

		for (const {tableName, tlsKey} of remove) {
			this.remove(tableName, tlsKey);
		}

		this.reply(response, 200, {});
	}

	async waitForChange(tableName, since, waitMs) {
		const untilMs = performance.now() + Math.min(maxWaitMs, waitMs);
		while (this.changesOf(tableName, since).length === 0 && performance.now() < untilMs) {
			await this.waitForWrite(untilMs - performance.now());
		}
	}

	async waitForWrite(maxMs) {
		let timer;
		let wake;
		await new Promise(resolve => {
			wake = resolve;
			timer = setTimeout(resolve, maxMs);
			this.waiting.add(wake);
		});
		clearTimeout(timer);
		this.waiting.delete(wake);
	}
}
