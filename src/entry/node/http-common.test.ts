import {once} from 'node:events';
import {connect} from 'node:net';
import t from 'tap';
import type {Logger, LogFields} from '../../base/common/logger.js';
import {listenOn} from '../../wire/node/listen.js';
import {attachApp, makeApp, makeHttpServer} from './http-common.js';

/* Guards against a fault of this host that is reported as a fault of the caller, and leaves nothing in the log. */
t.test('an exception of a handler is answered with 500 and logged with the ID of the request; a begun response is cut', async t => {
	const lines: LogFields[] = [];
	const keep = (_sentence: string, fields: LogFields = {}) => {
		lines.push(fields);
	};

	const log: Logger = {
		debug: keep, info: keep, warn: keep, error: keep,
	};
	const app = makeApp(log);
	app.get('/early', async () => {
		throw new Error('early fault');
	});
	app.get('/late', async (_request, response) => {
		response.writeHead(200, {'content-length': 10}).write('part');
		throw new Error('late fault');
	});
	const server = makeHttpServer();
	attachApp(server, app);
	const {port} = await listenOn(server, {address: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const send = async (path: string) => {
		const socket = connect({host: '127.0.0.1', port});
		let text = '';
		socket.on('data', data => {
			text += String(data);
		});
		socket.on('error', () => undefined);
		socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r${path}\r\nConnection: close\r\n\r\n`);
		await once(socket, 'close');
		return text;
	};

	const early = await send('/early');
	t.match(early, /^HTTP\/1\.1 500 /v);
	t.match(early, /"code":"internal"/v);
	t.notMatch(early, /early fault/v);
	t.notMatch(await send('/late'), /part.{6}/v);
	t.match(lines, [{request: 'r/early', reason: 'early fault'}, {request: 'r/late', reason: 'late fault'}]);
});
