/** Accepts connections from other processes of the system. */
import {
	createServer, type Server, type Socket,
} from 'node:net';
import {createServer as createTlsServer} from 'node:tls';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import type {Endpoint} from '../common/endpoint.js';
import {listenOn} from './listen.js';
import {WireConnection, type WireOptions} from './wire-connection.js';

export type {Endpoint} from '../common/endpoint.js';

/** Certificate and key for TLS, with the authority that signed the certificates of the peers. */
export type TlsMaterial = {readonly certificate: string; readonly key: string; readonly authority: string};

/** Listens, and reports each connection once its handshake is complete. */
export class WireServer implements Disposable {
	static create(options: WireOptions, tls?: TlsMaterial): WireServer {
		return new WireServer(options, tls);
	}

	private readonly server: Server;
	private readonly connections = new Set<WireConnection>();
	private readonly didConnect = Emitter.create<WireConnection>();

	private constructor(private readonly options: WireOptions, tls?: TlsMaterial) {
		const accept = (socket: Socket) => {
			this.accept(socket);
		};

		this.server = tls
			? createTlsServer({
				cert: tls.certificate, key: tls.key, ca: tls.authority, requestCert: true, rejectUnauthorized: true,
			}, accept)
			: createServer(accept);
	}

	/** Fires for each connection whose client has authenticated. */
	get onDidConnect() {
		return this.didConnect.event;
	}

	/**
	Starts listening.
	@param endpoint - the address and port; port 0 selects a free port.
	@returns the endpoint with the actual port.
	@throws UnavailableError if it can't listen on the address.
	*/
	async listen(endpoint: Endpoint): Promise<Endpoint> {
		return listenOn(this.server, endpoint);
	}

	dispose(): void {
		this.server.close();
		for (const connection of this.connections) {
			connection.dispose();
		}
	}

	private accept(socket: Socket): void {
		const connection = WireConnection.create(socket, this.options, false);
		this.connections.add(connection);
		connection.onDidClose(() => {
			this.connections.delete(connection);
		});
		connection.onDidOpen(() => {
			this.didConnect.fire(connection);
		});
	}
}
