/** Runs the program as it is deployed: bundled, with its code cache next to it, in a process of its own. */
import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import t, {type Test} from 'tap';
import {z} from 'zod';
import {sendRequest, configOf, waitUntil} from './direct-harness.js';
import {StoreStandin} from './store-standin.js';
import {ServerStandin} from './server-standin.js';

const projectRoot = fileURLToPath(new URL('../../..', import.meta.url));
const startedMessage = 'The entry has started.';
const lineSchema = z.looseObject({message: z.string(), callers: z.string().optional()});

/** Returns the settings file that the platform writes for a single host. */
function settingsOf(storePort: number) {
	return {
		nodeName: 'entry-1',
		ipAddr: '127.0.0.1',
		availZone: 'hall-a',
		portRange: [0, 0],
		seedNodes: [],
		listenAddrs: {frontend: '127.0.0.1:0', ready: '127.0.0.1:0'},
		timingBounds: {
			graceS: 4, configApplyMs: 2000, drainMs: 2000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 60,
		},
		reqLimits: {cpuFraction: 1, cpuCores: 1, linkMbps: 1000},
		platform: {address: `127.0.0.1:${storePort}`},
	};
}

/** Bundles and starts the program; it is killed at the end of the test. */
function runProgram(t: Test, storePort: number) {
	const folder = t.testdir({settings: JSON.stringify(settingsOf(storePort))});
	const built = spawnSync(process.execPath, ['scripts/bundle.js', folder], {cwd: projectRoot, encoding: 'utf8'});
	t.equal(built.status, 0, built.stderr);
	process.env.PUMICEHATCH_BOOT = `${folder}/settings`;
	process.env.PUMICEHATCH_WIRE_SECRET = 'a secret of the test';
	const child = spawn(process.execPath, [`${folder}/main.cjs`], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => child.kill('SIGKILL'));
	let output = '';
	const appendOutput = (chunk: unknown) => {
		output += String(chunk);
	};

	child.stdout.on('data', appendOutput);
	child.stderr.on('data', appendOutput);
	return {child, exit: once(child, 'exit'), readOutput: () => output};
}

/** Reads the endpoint for callers from the log line of the start. */
function callerEndpointOf(output: string) {
	const started = output.split('\n').filter(line => line.startsWith('{')).map(line => lineSchema.parse(JSON.parse(line)))
		.find(({message}) => message === startedMessage);
	const [address, port] = started!.callers!.split(':');
	return {address, port: Number(port)};
}

t.test('the bundled program uses its code cache and serves requests with store and servers', async t => {
	const store = await StoreStandin.create();
	const server = await ServerStandin.create('plain-0');
	t.teardown(() => {
		server.dispose();
		store.dispose();
	});
	store.put('op', 'config', configOf(1));
	store.put('servers', server.serverId, server.entry('plain'));

	const {child, exit, readOutput} = runProgram(t, store.port);
	await waitUntil(() => [server.serverId, startedMessage, 'in force'].every(text => readOutput().includes(text)));
	const answer = await sendRequest({callers: callerEndpointOf(readOutput())}, {path: '/look/1'});
	t.equal(answer.status, 200);
	t.notMatch(readOutput(), /code cache was rejected/v);
	child.kill('SIGTERM');
	t.same(await exit, [0, null], 'it exits by itself, not by a signal');
});
