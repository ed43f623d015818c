/** The addresses that this host dials: it keeps connecting to each, and forgets one where nobody answers unless it is a seed. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {WireClient, type WireClientOptions} from '../../wire/node/wire-client.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import type {Endpoint} from '../../wire/node/wire-server.js';
import {parseEndpoint} from '../../wire/common/endpoint.js';
import {DialPlan} from '../common/dial-plan.js';

/** An address at which nobody answers for this long is forgotten unless it is a seed. */
const forgetMs = 15_000;

/** What the dials are made of. */
export type PeerDialsOptions = {
	readonly wire: WireClientOptions;
	readonly clock: Clock;
	/** A peer answered. */
	readonly connected: (connection: WireConnection) => void;
	/** Where the hosts listen that are connected, whoever dialled. */
	readonly metEndpoints: () => ReadonlySet<string>;
};

type Dial = {
	readonly client: WireClient;
	/** When it was last open, or was begun. */
	openMs: number;
	isOpen: boolean;
};

/** Keeps connecting to known addresses. */
export class PeerDials implements Disposable {
	static create(options: PeerDialsOptions): PeerDials {
		return new PeerDials(options);
	}

	private readonly dials = new Map<string, Dial>();
	private plan = DialPlan.create('');
	private own = '';

	private constructor(private readonly options: PeerDialsOptions) {}

	/** Addresses that are never forgotten. */
	get seeds(): readonly string[] {
		return this.plan.seeds;
	}

	/** Addresses that are dialled or will be. */
	get known(): readonly string[] {
		return this.plan.all;
	}

	/** Where this host listens for peers, as peers are told of it; it is not dialled. */
	get ownEndpoint(): string {
		return this.own;
	}

	/**
	Says where this host itself listens.
	@param own - its address.
	*/
	start(own: Endpoint): void {
		this.own = textOf(own);
		this.plan = DialPlan.create(this.own);
	}

	/**
	Adds addresses that are never forgotten.
	@param seeds - where peers may listen.
	*/
	addSeeds(seeds: readonly Endpoint[]): void {
		const nowMs = this.options.clock.nowMs();
		for (const seed of seeds) {
			this.plan.add(textOf(seed), true, nowMs);
		}

		this.dialDue();
	}

	/**
	Adds addresses that a peer knows.
	@param endpoints - as the peer told them.
	*/
	addKnown(endpoints: readonly string[]): void {
		const nowMs = this.options.clock.nowMs();
		const news = endpoints.filter(endpoint => this.plan.add(endpoint, false, nowMs));
		if (news.length > 0) {
			this.dialDue();
		}
	}

	/** Dials what is due by now. */
	dialDue(): void {
		const met = this.options.metEndpoints();
		for (const endpoint of this.plan.due(each => met.has(each), this.options.clock.nowMs())) {
			this.dial(endpoint);
		}
	}

	/**
	Forgets addresses at which nobody has answered for long.
	@param nowMs - the time.
	*/
	forgetSilent(nowMs: number): void {
		for (const [endpoint, dial] of this.dials) {
			if (!dial.isOpen && !this.plan.isSeed(endpoint) && nowMs - dial.openMs > forgetMs) {
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

		const {wire, clock, connected} = this.options;
		const client = WireClient.create(parsed, wire);
		const dial: Dial = {
			client, openMs: clock.nowMs(), isOpen: false,
		};
		this.dials.set(endpoint, dial);
		client.onDidConnect(connection => {
			dial.isOpen = true;
			connection.onDidClose(() => {
				dial.isOpen = false;
				dial.openMs = clock.nowMs();
			});
			connected(connection);
		});
	}
}

function textOf({address, port}: Endpoint): string {
	return `${address}:${port}`;
}
