/** Reads and validates a host's settings and the secrets they refer to, before anything starts. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {messageOf, type InputProblem} from '../../base/common/errors.js';
import {checkDocument, readJsonc} from '../../base/common/jsonc.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {WireKey} from '../../wire/node/handshake.js';
import type {TlsMaterial} from '../../wire/node/wire-server.js';
import {
	hostSettingsSchema, type HostSettings, type SecretSource, type TlsFiles,
} from '../common/host-settings.js';

const minKeyLength = 16;

/** Secrets and certificates that the settings refer to. */
export type HostSecrets = {
	readonly wireKeys: readonly WireKey[];
	readonly platformToken: string;
	readonly bootstrapToken: string | undefined;
	readonly wireTls: TlsMaterial | undefined;
	readonly callersTls: TlsMaterial | undefined;
};

/** Everything a host needs to start. */
export type LoadedHost = {readonly host: HostSettings; readonly secrets: HostSecrets};

/** Reads secrets, and collects the problems found. */
class SecretReader {
	readonly problems: InputProblem[] = [];

	constructor(private readonly source: string) {}

	read(secret: SecretSource, path: string): string {
		const value = secret.env === undefined ? this.readFile(secret.file ?? '', `${path}/file`).trim() : process.env[secret.env];
		if (value === undefined || value === '') {
			this.addProblem(path, secret.env === undefined ? 'the file is empty' : `environment variable ${secret.env} is not set`);
		}

		return value ?? '';
	}

	readTls(files: TlsFiles | undefined, path: string): TlsMaterial | undefined {
		return files && {
			certificate: this.readFile(files.certificateFile, `${path}/certificateFile`),
			key: this.readFile(files.keyFile, `${path}/keyFile`),
			authority: this.readFile(files.authorityFile, `${path}/authorityFile`),
		};
	}

	addProblem(path: string, message: string): void {
		this.problems.push({code: 'badSecret', message, place: {source: this.source, path}});
	}

	private readFile(file: string, path: string): string {
		try {
			return readFileSync(file, 'utf8');
		} catch (error) {
			this.addProblem(path, messageOf(error));
			return '';
		}
	}
}

/**
Reads a host's settings.
@param file - path of the file, in JSON with comments.
@returns the validated settings and their secrets, or all problems found.
*/
export function loadHostSettings(file: string): Outcome<LoadedHost, InputProblem[]> {
	let bytes: Uint8Array;
	try {
		bytes = readFileSync(file);
	} catch (error) {
		return fail([{code: 'unreadable', message: messageOf(error), place: {source: file}}]);
	}

	const document = readJsonc(bytes, file);
	if (!document.ok) {
		return document;
	}

	const host = checkDocument(document.value, hostSettingsSchema);
	return host.ok ? loadSecrets(host.value, file) : host;
}

function loadSecrets(host: HostSettings, file: string): Outcome<LoadedHost, InputProblem[]> {
	const reader = new SecretReader(file);
	const wireKeys = host.wire.keys.map(({keyId, secret}, index) => {
		const path = `/wire/keys/${index}/secret`;
		const value = reader.read(secret, path);
		if (value !== '' && value.length < minKeyLength) {
			reader.addProblem(path, `the key must have at least ${minKeyLength} characters`);
		}

		return {keyId, secret: value};
	});
	const bootstrap = host.role === 'entry' ? host.operators.bootstrapToken : undefined;
	const secrets = {
		wireKeys,
		platformToken: reader.read(host.platform.token, '/platform/token'),
		bootstrapToken: bootstrap && reader.read(bootstrap, '/operators/bootstrapToken'),
		wireTls: reader.readTls(host.wire.tls, '/wire/tls'),
		callersTls: host.role === 'entry' ? reader.readTls(host.callers.tls, '/callers/tls') : undefined,
	};
	return reader.problems.length > 0 ? fail(reader.problems) : ok({host, secrets});
}
