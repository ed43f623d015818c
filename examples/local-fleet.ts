/** A complete fleet with simulated upstreams and platform in one process, for the quickstart, tests and benchmarks. */
import {randomBytes} from 'node:crypto';
import type {DependencyContainer} from 'tsyringe';
import {type Disposable, DisposableStore} from '../src/base/common/disposable.js';
import type {EntryHostSettings} from '../src/daemon/common/host-settings.js';
import {startDaemon, type Daemon} from '../src/daemon/node/daemon.js';
import type {HostSecrets} from '../src/daemon/node/load-host-settings.js';
import type {ListedHost} from '../src/store/common/host-list.js';
import type {LoadedModel} from '../src/wire/common/messages.js';
import {defaultSpeed, type EngineSpeed} from '../src/standins/common/engine-state.js';
import {EngineServer} from '../src/standins/node/engine-server.js';
import {PlatformServer} from '../src/standins/node/platform-server.js';
import {ServiceServer} from '../src/standins/node/service-server.js';

const address = '127.0.0.1';
const halls = ['hall-a', 'hall-b', 'hall-c'] as const;

/** A pool of simulated upstreams to start. */
export type PoolSpec = {
	readonly pool: string;
	readonly kind: 'engine' | 'worker' | 'service';
	readonly count: number;
	readonly serviceMs?: number;
	readonly slots?: number;
	readonly isReporting?: boolean;
};

/** Hosts and upstreams of a fleet to start. */
export type FleetSpec = {
	readonly entries: number;
	readonly pools: readonly PoolSpec[];
	readonly models: readonly LoadedModel[];
	readonly engineSpeed?: EngineSpeed;
	readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
	readonly stopGraceMs?: number;
	/** Registers replacement components in the container of each daemon before it starts. */
	readonly adjust?: (parts: DependencyContainer) => void;
};

/** A started upstream with its agent. */
export type FleetUpstream = {
	readonly upstreamId: string;
	readonly pool: string;
	readonly hostId: string;
	readonly engine?: EngineServer;
	readonly service?: ServiceServer;
	daemon: Daemon;
};

const kaolackModels = [{model: 'sawmill-7b', version: 'v3', adapters: ['quotes', 'tallies']}];
const kookpakketModels = [{model: 'kitchen-8b', version: 'v5', adapters: ['menus', 'allergies']}];

const stagePools: readonly PoolSpec[] = [
	{
		pool: 'encoders', kind: 'worker', count: 3, serviceMs: 8, slots: 16,
	},
	{
		pool: 'retrievers', kind: 'worker', count: 4, serviceMs: 25, slots: 8,
	},
	{
		pool: 'rerankers', kind: 'worker', count: 3, serviceMs: 15, slots: 8,
	},
];

function servicePools(nonReportingPool: string, reportingPools: readonly string[]): PoolSpec[] {
	return [
		{
			pool: nonReportingPool, kind: 'service', count: 3, serviceMs: 10, slots: 8, isReporting: false,
		},
		...reportingPools.map(pool => ({
			pool, kind: 'service' as const, count: 4, serviceMs: 10, slots: 8, isReporting: true,
		})),
	];
}

/** Fleet of the Kaolack venture at its present size. */
export const kaolackFleet: FleetSpec = {
	entries: 2,
	models: kaolackModels,
	pools: [{pool: 'models', kind: 'engine', count: 13}, ...stagePools, ...servicePools('stock', ['invoicing', 'yard-gate', 'ledger'])],
};

/** Fleet of Kookpakket at its present size. */
export const kookpakketFleet: FleetSpec = {
	entries: 2,
	models: kookpakketModels,
	pools: [{pool: 'models', kind: 'engine', count: 8}, ...stagePools, ...servicePools('orders', ['pantry', 'billing', 'partner-gateway'])],
};

/** A running fleet; disposing it stops everything. */
export class LocalFleet implements Disposable {
	/**
	Starts a fleet.
	@param spec - hosts and upstreams to start.
	@returns the fleet, with every host in the host list of the simulated platform.
	*/
	static async create(spec: FleetSpec): Promise<LocalFleet> {
		const fleet = new LocalFleet(spec, await PlatformServer.create());
		await fleet.startUpstreams();
		for (let index = 0; index < spec.entries; index++) {
			await fleet.startEntry(index);
		}

		return fleet;
	}

	readonly entries: Daemon[] = [];
	readonly upstreams: FleetUpstream[] = [];
	private readonly disposables = DisposableStore.create();
	private readonly secrets: HostSecrets;

	private constructor(private readonly spec: FleetSpec, readonly platform: PlatformServer) {
		this.disposables.add(platform);
		this.secrets = {
			wireKeys: [{keyId: 'local', secret: randomBytes(24).toString('base64url')}],
			platformToken: 'local',
			bootstrapToken: 'demo-operator',
			wireTls: undefined,
			callersTls: undefined,
		};
	}

	callersOrigin(index: number): string {
		const {address: host, port} = this.entries[index].entry!.callers;
		return `http://${host}:${port}`;
	}

	operatorsOrigin(index: number): string {
		const {address: host, port} = this.entries[index].entry!.operators;
		return `http://${host}:${port}`;
	}

	poolOf(pool: string): FleetUpstream[] {
		return this.upstreams.filter(upstream => upstream.pool === pool);
	}

	/**
	Starts an entry host.
	@param index - index of the entry, which also determines its data hall.
	@returns its daemon.
	*/
	async startEntry(index: number): Promise<Daemon> {
		const hostId = `entry-${index}`;
		const hall = halls[index % halls.length];
		const daemon = await startDaemon({
			secrets: this.secrets,
			host: {
				...this.commonSettings(hostId, hall),
				role: 'entry',
				callers: {address, port: 0},
				operators: {address, port: 0},
				stopGraceMs: this.spec.stopGraceMs ?? 100,
				claimSpacingMs: 25,
			},
		}, this.spec.adjust);
		this.entries[index] = daemon;
		this.updateHostList({hostId, role: 'entry', hall}, daemon);
		this.disposables.add({
			dispose() {
				daemon.lifecycle.stopNow();
			},
		});
		return daemon;
	}

	/**
	Starts the stopped agent of an upstream again, as a new incarnation.
	@param upstream - upstream whose agent was stopped.
	*/
	async restartAgent(upstream: FleetUpstream): Promise<void> {
		upstream.daemon = await this.startAgent(upstream, this.upstreams.indexOf(upstream));
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private async startUpstreams(): Promise<void> {
		for (const pool of this.spec.pools) {
			for (let index = 0; index < pool.count; index++) {
				await this.startUpstream(pool, index);
			}
		}
	}

	private async startUpstream(spec: PoolSpec, index: number): Promise<void> {
		const upstreamId = `${spec.pool}-${index + 1}`;
		const server = spec.kind === 'engine'
			? {engine: this.disposables.add(await EngineServer.create({speed: this.spec.engineSpeed ?? defaultSpeed, models: structuredClone(this.spec.models), weightOrigin: this.platform.origin}))}
			: {service: this.disposables.add(await ServiceServer.create(serviceOptionsOf(spec)))};
		const upstream = {
			upstreamId, pool: spec.pool, hostId: `host-${upstreamId}`, ...server,
		};
		const daemon = await this.startAgent(upstream, index);
		this.upstreams.push({...upstream, daemon});
	}

	private async startAgent(upstream: Omit<FleetUpstream, 'daemon'>, index: number): Promise<Daemon> {
		const {upstreamId, pool, hostId, engine, service} = upstream;
		const hall = halls[index % halls.length];
		const daemon = await startDaemon({
			secrets: this.secrets,
			host: {
				...this.commonSettings(hostId, hall),
				role: 'agent',
				upstream: {
					upstreamId, pool, kind: this.spec.pools.find(item => item.pool === pool)!.kind, origin: (engine ?? service)!.origin,
				},
			},
		}, this.spec.adjust);
		this.updateHostList({
			hostId, role: 'agent', hall, pool,
		}, daemon);
		this.disposables.add({
			dispose() {
				daemon.lifecycle.stopNow();
			},
		});
		return daemon;
	}

	private commonSettings(hostId: string, hall: string): Pick<EntryHostSettings, 'hostId' | 'hall' | 'wire' | 'platform' | 'logs'> {
		return {
			hostId,
			hall,
			wire: {address, port: 0, keys: []},
			platform: {origin: this.platform.origin, token: {env: 'UNUSED'}, callTimeoutMs: 1000},
			logs: {level: this.spec.logLevel ?? 'warn', format: 'text'},
		};
	}

	private updateHostList({hostId, role, hall, pool}: Pick<ListedHost, 'hostId' | 'role' | 'hall' | 'pool'>, {wire: {port}}: Daemon): void {
		const others = this.platform.hosts.filter(host => host.hostId !== hostId);
		this.platform.hosts = [...others, {
			hostId, role, address, port, hall, state: 'live', ...(pool !== undefined && {pool}),
		}];
	}
}

function serviceOptionsOf(spec: PoolSpec) {
	return {
		serviceMs: spec.serviceMs ?? 10,
		slots: spec.slots ?? 8,
		isReporting: spec.isReporting ?? true,
		respond: (path: string, body: string) => (spec.kind === 'worker' ? {pool: spec.pool, of: body.slice(0, 400)} : {pool: spec.pool, path, isDone: true}),
	};
}
