/** Starts hosts of the system with the command, the settings template and the variables of the deploy file. */
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const projectRoot = fileURLToPath(new URL('../..', import.meta.url));
const readyChecks = 400;
const readyCheckMs = 25;

/** Bounds of the small deployments (SYSTEM.md). */
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
const contractList = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'stages'];
const reqLimits = {
	cpuFraction: 0.513, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
};
const platform = {
	form: 'table', writesPerS: 400, readsPerS: 2000, txMs: 3, partWritesS: 300, rowBytes: 65_536, crossPart: true, historyS: 20, blobBytes: 8_388_608, blobMs: 25, blobBwS: 80,
};

/** Returns a free port of an address. */
async function freePort(address) {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, address, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Reads the role of the deploy file. */
function readRole() {
	const text = readFileSync(path.join(projectRoot, 'deploy/system.toml'), 'utf8');
	const valueOf = name => new RegExp(`^${name} = "(?<value>[^"]*)"$`, 'mv').exec(text).groups.value;
	const {pairs} = /^env = \{(?<pairs>.*)\}$/mv.exec(text).groups;
	const env = {};
	for (const {groups} of pairs.matchAll(/(?<name>[A-Z\d_]+) = "(?<value>[^"]*)"/gv)) {
		env[groups.name] = groups.value;
	}

	return {command: valueOf('run').split(' '), template: readFileSync(path.join(projectRoot, valueOf('template')), 'utf8'), env};
}

/** A host of the system: one process, which can be killed, stopped and started again with the same settings. */
export class Host {
	/** Creates a host that is not started yet. */
	static create(options) {
		return Object.assign(new Host(), options);
	}

	/** Starts the process; the platform writes the settings before each start. */
	start() {
		const {command, env, template} = readRole();
		const settings = {...this.settings, isFirstStart: this.child === undefined};
		writeFileSync(this.settingsFile, template.replace('{{.|json}}', () => JSON.stringify(settings)));
		this.lines = [];
		this.child = spawn(command[0], command.slice(1), {
			cwd: projectRoot,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME ?? '', LANG: process.env.LANG ?? '', ...env, PUMICEHATCH_BOOT: this.settingsFile,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const {child} = this;
		let rest = '';
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				const parts = (rest + chunk).split('\n');
				rest = parts.pop();
				this.lines.push(...parts.filter(part => part !== ''));
			});
		}

		this.exited = new Promise(resolve => {
			child.on('exit', (code, signal) => {
				resolve(signal ?? code);
			});
		});
		return child;
	}

	/** Returns whether the host says that it is ready. */
	async isReady() {
		try {
			const {status} = await fetch(`http://${this.ready}/v1/readyz`);
			return status === 200;
		} catch {
			return false;
		}
	}

	/** Waits until the host is ready and has logged all given servers. */
	async waitUntilReady(serverIds) {
		for (let count = 0; count < readyChecks; count++) {
			if (await this.isReady() && serverIds.every(id => this.lines.some(line => line.includes(id)))) {
				return;
			}

			await sleep(readyCheckMs);
		}

		throw new Error(`${this.name} is not ready: ${this.lines.slice(-3).join(' | ')}`);
	}
}

/** Makes the settings of the hosts of a deployment; the hosts are not started yet. */
export async function makeHosts({count, scratch, store, network}) {
	const addresses = Array.from({length: count}, (_, index) => `${network}.${11 + index}`);
	const peerPort = await freePort(addresses[0]);
	const hosts = [];
	for (const [index, address] of addresses.entries()) {
		const name = `edge-hall-nord-${index + 1}`;
		const frontend = `${address}:${await freePort(address)}`;
		const ready = `${address}:${await freePort(address)}`;
		const settings = {
			nodeName: name,
			nodeRole: 'entry',
			machineClass: 'edge',
			servesRoles: ['edge', 'ctrl'],
			ipAddr: address,
			availZone: 'hall-nord',
			regionName: 'kaolack',
			portRange: [peerPort, peerPort + 15],
			seedNodes: addresses.slice(0, 3).map(seed => `${seed}:8628`),
			isCounted: false,
			discoverySrc: 'platform',
			entryType: 'anycast',
			heartbeatMs: 1200,
			contractList,
			zones: {'hall-nord': 'kaolack'},
			listenAddrs: {frontend, ready, controlPlane: `${address}:8628`},
			reqLimits,
			faultTolerance: {machineFaults: 1, zones: 0, regionFaults: 0},
			timingBounds,
			platform: {address: store.address, ...platform},
		};
		hosts.push(Host.create({
			name, frontend, ready, settings, settingsFile: path.join(scratch, `${name}.settings`),
		}));
	}

	return hosts;
}
