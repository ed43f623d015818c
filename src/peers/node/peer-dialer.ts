/** Dials the addresses that this host knows: keeps trying each of them, and forgets an address at which no host answers unless it is a seed. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {WireClient, type WireClientOptions} from '../../wire/node/wire-client.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import type {Endpoint} from '../../wire/node/wire-server.js';
import {parseEndpoint} from '../../wire/common/endpoint.js';
import {DialPlan} from '../common/dial-plan.js';

/** An address at which no host answers for this long is forgotten unless it is a seed. */
const forgetAfterMs = 15_000;

/** Dependencies of `PeerDialer`. */
export type PeerDialerOptions = {
	readonly wire: WireClientOptions;
	readonly clock: Clock;
	/** Called with a connection that was established. */
	readonly onConnected: (connection: WireConnection) => void;
	/** Endpoints of the connected hosts, whichever side dialed. */
	readonly connectedEndpoints: () => ReadonlySet<string>;
};

type Dial = {
	readonly client: WireClient;
	/** When the connection was last open; if it never was, when the dial started. */
	lastOpenMs: number;
	isOpen: boolean;
};

/** Keeps connecting to the known addresses. */
export class PeerDialer implements Disposable {
	static create(options: PeerDialerOptions): PeerDialer {
		return new PeerDialer(options);
	}

	private readonly dials = new Map<string, Dial>();
	private plan = DialPlan.create('');
	private ownAddress = '';

	private constructor(private readonly options: PeerDialerOptions) {}

	/** Addresses of the seeds; they are never forgotten. */
	get seeds(): readonly string[] {
		return this.plan.seeds;
	}

	/** Addresses that are dialed or will be. */
	get known(): readonly string[] {
		return this.plan.all;
	}

	/** Where this host listens for peers, as reported to them; it is not dialed. */
	get ownEndpoint(): string {
		return this.ownAddress;
	}

	/**
	Sets the address at which this host itself listens.
	@param endpoint - its address.
	*/
	start(endpoint: Endpoint): void {
		this.ownAddress = endpointText(endpoint);
		this.plan = DialPlan.create(this.ownAddress);
	}

	/**
	Adds addresses that are never forgotten.
	@param seeds - where peers may listen.
	*/
	addSeeds(seeds: readonly Endpoint[]): void {
		const nowMs = this.options.clock.nowMs();
		for (const seed of seeds) {
			this.plan.add(endpointText(seed), true, nowMs);
		}

		this.dialDue();
	}

	/**
	Adds addresses that a peer knows.
	@param endpoints - as the peer reported them.
	*/
	addKnown(endpoints: readonly string[]): void {
		const nowMs = this.options.clock.nowMs();
		const newEndpoints = endpoints.filter(endpoint => this.plan.add(endpoint, false, nowMs));
		if (newEndpoints.length > 0) {
			this.dialDue();
		}
	}

	/** Dials the addresses that are due. */
	dialDue(): void {
		const connected = this.options.connectedEndpoints();
		for (const endpoint of this.plan.due(each => connected.has(each), this.options.clock.nowMs())) {
			this.dial(endpoint);
		}
	}

	/**
	Forgets addresses at which no host has answered for a long time, except seeds.
	@param nowMs - the current time.
	*/
	forgetUnreachable(nowMs: number): void {
		for (const [endpoint, dial] of this.dials) {
			if (!dial.isOpen && !this.plan.isSeed(endpoint) && nowMs - dial.lastOpenMs > forgetAfterMs) {
				this.dials.delete(endpoint);
				this.plan.remove(endpoint);
				dial.client.dispose();
			}
		}
	}

	dispose(): void {
		for (const {client} of this.dials.values()) {
			client.dispose();
		}
	}

	private dial(endpoint: string): void {
		const parsed = parseEndpoint(endpoint);
		if (!parsed || this.dials.has(endpoint)) {
			return;
		}

		const {wire, clock, onConnected} = this.options;
		const client = WireClient.create(parsed, wire);
		const dial: Dial = {
			client, lastOpenMs: clock.nowMs(), isOpen: false,
		};
		this.dials.set(endpoint, dial);
		client.onDidConnect(connection => {
			dial.isOpen = true;
			connection.onDidClose(() => {
				dial.isOpen = false;
				dial.lastOpenMs = clock.nowMs();
			});
			onConnected(connection);
		});
	}
}

function endpointText({address, port}: Endpoint): string {
	return `${address}:${port}`;
}
