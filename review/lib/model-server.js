/**
Stand-in for a model server of the platform, as a process of its own. It streams events with rising ids, goes on after `Last-Event-Id`, and reports to
its parent what it runs. Its id and behavior are given as JSON in the first argument.
*/
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {eventOf} from './events.js';

const settings = JSON.parse(process.argv[2]);
/** Shares of the requests that fail, and of those whose answer carries no length; the parent may change them. */
const shares = {error: 0, unframed: settings.unframedShare ?? 0};
const sums = {error: Math.random(), unframed: Math.random()};
process.on('message', changes => {
	Object.assign(shares, changes);
});

function report(message) {
	process.send?.(message);
}

/** Returns whether the next request is one of a share, spread evenly over the requests. */
function isDue(name) {
	sums[name] += shares[name];
	if (sums[name] < 1) {
		return false;
	}

	sums[name]--;
	return true;
}

async function stream(request, response, {headers, from}) {
	const {eventMs, eventCount, prefillMs, eventBytes} = settings;
	const isUnframed = isDue('unframed');
	report({
		type: 'run', attempt: headers['attempt-id'], from, isUnframed,
	});
	await sleep(prefillMs);
	if (isUnframed) {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
	}

	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	for (let index = from + 1; index <= eventCount && !response.destroyed; index++) {
		response.write(eventOf(request.url, index, eventBytes));
		await sleep(eventMs);
	}

	response.end();
}

async function handle(request, response) {
	request.resume();
	if (request.headers['expect-instance'] !== settings.id) {
		response.writeHead(421, {'instance-id': settings.id}).end();
		return;
	}

	const headers = {
		'attempt-id': request.headers['attempt-id'], 'server-stamp': `${settings.id}.${randomBytes(4).toString('hex')}`, 'weight-versions': '1',
	};
	const from = Number(request.headers['last-event-id'] ?? 0);
	if (isDue('error')) {
		report({type: 'error', attempt: headers['attempt-id'], from});
		await sleep(2);
		response.writeHead(500, headers).end('the server failed\n');
		return;
	}

	await stream(request, response, {headers, from});
}

const server = createServer(handle);
server.keepAliveTimeout = 5000;
server.listen(0, settings.address, () => {
	report({type: 'listening', address: `${settings.address}:${server.address().port}`});
});
