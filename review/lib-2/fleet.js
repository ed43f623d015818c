/** Starts hosts of the system with the command of the deploy file, each at a loopback address of its own, and ends them by their ids. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import process from 'node:process';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const network = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;

/** Returns a loopback address that no other script uses at the same time. */
export const addressOf = index => `${network}.${index + 1}`;

/** Returns ports that are free at all given addresses. */
async function freePorts(addresses, count) {
	const ports = [];
	while (ports.length < count) {
		const port = 20_000 + Math.floor(Math.random() * 10_000);
		const servers = [];
		try {
			for (const address of addresses) {
				const server = createServer();
				server.listen(port, address);
				await once(server, 'listening');
				servers.push(server);
			}

			if (!ports.includes(port)) {
				ports.push(port);
			}
		} catch {
			// The port is taken at one of the addresses: the next one is tried.
		}

		await Promise.all(servers.map(async server => {
			server.close();
			await once(server, 'close');
		}));
	}

	return ports;
}

const timingBounds = {
	seedLagS: 3,
	addrReuseS: 2,
	contactMs: 3000,
	ackMs: 4000,
	catchupS: 4,
	drainMs: 2000,
	graceS: 8,
	lossSlackMs: 200,
	configApplyMs: 2000,
	rollbackSlackMs: 250,
	skewMaxMs: 5000,
	strictRevoke: false,
	revokeMs: 5000,
	retryRatio: 0.2,
	retryWindowS: 10,
	retrySlack: 58,
	recoveryS: 12,
	iterMs: 120,
	retryAfterS: 10,
};

/** Memory of a machine in MB; the platform kills a process that takes more. */
export const memoryMb = 350;

/** Returns the resident memory of a process in MB; 0 if it has ended. */
export function residentMb(pid) {
	try {
		return Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes ?? 0) / 1024;
	} catch {
		return 0;
	}
}

/**
Starts a fleet of hosts.
@param count - number of hosts.
@param store - port of the store, at the first address of the script.
@returns the hosts; each has its process, its endpoints and its output.
*/
export async function startFleet(count, store) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const addresses = Array.from({length: count}, (_, index) => addressOf(index + 10));
	const [frontend, ready, control, peers] = await freePorts(addresses, 4);
	const start = (index, isFirstStart) => {
		const address = addresses[index];
		const settingsFile = path.join(folder, `host-${index}.json`);
		writeFileSync(settingsFile, JSON.stringify({
			nodeName: `edge-hall-nord-${index + 1}`,
			nodeRole: 'entry',
			machineClass: 'edge',
			servesRoles: ['edge', 'ctrl'],
			ipAddr: address,
			availZone: 'hall-nord',
			regionName: 'kaolack',
			portRange: [peers, peers],
			seedNodes: addresses.slice(0, 3).map(each => `${each}:${control}`),
			isFirstStart,
			isCounted: false,
			discoverySrc: 'platform',
			entryType: 'anycast',
			heartbeatMs: 1200,
			contractList: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'stages'],
			zones: {'hall-nord': 'kaolack'},
			listenAddrs: {frontend: `${address}:${frontend}`, ready: `${address}:${ready}`, controlPlane: `${address}:${control}`},
			reqLimits: {
				cpuFraction: 0.513, cpuCores: 1, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb: 0,
			},
			faultTolerance: {machineFaults: 1, zones: 0, regionFaults: 0},
			timingBounds,
			platform: {
				address: `${addressOf(0)}:${store}`, form: 'table', writesPerS: 400, readsPerS: 2000, txMs: 3, partWritesS: 300, rowBytes: 65_536, crossPart: true, historyS: 20,
			},
		}));
		const logFile = path.join(folder, `host-${index}-${Date.now()}.log`);
		const output = openSync(logFile, 'w');
		const [program, ...words] = /^run = "(?<run>[^"]+)"/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.run.split(' ');
		const child = spawn(program, words, {
			cwd: root,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, PUMICEHATCH_BOOT: settingsFile, PUMICEHATCH_WIRE_SECRET: 'set-one-of-your-own-for-each-deployment',
			},
			stdio: ['ignore', output, output],
		});
		closeSync(output);
		const host = {
			index, address, frontend, ready, child, ended: undefined, readOutput: () => readFileSync(logFile, 'utf8'),
		};
		child.on('exit', (code, signal) => {
			host.ended = {code, signal, atMs: performance.now()};
		});
		return host;
	};

	const hosts = Array.from({length: count}, (_, index) => start(index, true));
	return {
		hosts,
		/** Starts an ended host again. */
		restart(index) {
			hosts[index] = start(index, false);
			return hosts[index];
		},
		/** Waits until all hosts are ready, and know each other. */
		async waitUntilReady(limitMs = 15_000) {
			const untilMs = performance.now() + limitMs;
			for (const host of hosts) {
				for (;;) {
					const peerCount = host.readOutput().split('A peer is connected.').length - 1;
					if (await isReady(host) && peerCount >= count - 1) {
						break;
					}

					if (performance.now() > untilMs) {
						throw new Error(`a host is not ready in time:\n${host.readOutput().slice(-2000)}`);
					}

					await sleep(50);
				}
			}
		},
		/** Ends all hosts. */
		async stop() {
			for (const {child} of hosts) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}

			await Promise.all(hosts.map(async ({child}) => child.exitCode === null && child.signalCode === null && once(child, 'exit')));
			rmSync(folder, {recursive: true, force: true});
		},
	};
}

/** Asks a host whether it is ready, as the load balancer does. */
export async function isReady({address, ready}) {
	try {
		const response = await fetch(`http://${address}:${ready}/v1/readyz`, {signal: AbortSignal.timeout(1000)});
		await response.text();
		return response.status === 200;
	} catch {
		return false;
	}
}
