/** Keeps one connection to another process, opening it again whenever it is lost. */
import {connect as connectTcp} from 'node:net';
import {connect as connectTls} from 'node:tls';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {jitter, type Random} from '../../base/common/random.js';
import {WireConnection, type WireOptions} from './wire-connection.js';
import type {Endpoint, TlsMaterial} from './wire-server.js';

const firstRetryMs = 50;
const maxRetryMs = 2000;

/** What a client needs from its process. */
export type WireClientOptions = WireOptions & {
	readonly clock: Clock;
	readonly random: Random;
	readonly tls?: TlsMaterial;
};

/** A connection that comes back. */
export class WireClient implements Disposable {
	static create(endpoint: Endpoint, options: WireClientOptions): WireClient {
		return new WireClient(endpoint, options);
	}

	private readonly didConnect = Emitter.create<WireConnection>();
	private connection: WireConnection | undefined;
	private retryTimer: Disposable | undefined;
	private retryMs = firstRetryMs;
	private isDisposed = false;

	private constructor(readonly endpoint: Endpoint, private readonly options: WireClientOptions) {
		// The first attempt waits a turn, so that the owner can listen first.
		this.retryTimer = options.clock.setTimer(0, () => {
			this.open();
		});
	}

	/** Fires each time a connection is ready. */
	get onDidConnect() {
		return this.didConnect.event;
	}

	dispose(): void {
		this.isDisposed = true;
		this.retryTimer?.dispose();
		this.connection?.dispose();
		this.didConnect.dispose();
	}

	private open(): void {
		const {address: host, port} = this.endpoint;
		const {tls} = this.options;
		// Peers are met by IP number, so the certificate is checked against the authority, not a name.
		const socket = tls
			? connectTls({
				host, port, cert: tls.certificate, key: tls.key, ca: tls.authority, checkServerIdentity: () => undefined,
			})
			: connectTcp({host, port});
		const connection = WireConnection.create(socket, this.options, true);
		this.connection = connection;
		connection.onDidOpen(() => {
			this.retryMs = firstRetryMs;
			this.didConnect.fire(connection);
		});
		connection.onDidClose(() => {
			this.scheduleReconnect();
		});
	}

	private scheduleReconnect(): void {
		if (this.isDisposed) {
			return;
		}

		const delayMs = jitter(this.options.random, this.retryMs);
		this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
		this.retryTimer = this.options.clock.setTimer(delayMs, () => {
			this.open();
		});
	}
}
