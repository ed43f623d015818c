/** Mutual authentication with a shared key: an HMAC over the nonces and identities of both sides. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {newId} from '../../base/node/ids.js';
import {
	protocolVersion, type HelloMessage, type Identity, type WelcomeMessage,
} from '../common/messages.js';

/** A key that both sides share; two keys are valid at the same time during a key rotation. */
export type WireKey = {readonly keyId: string; readonly secret: string};

type Side = 'client' | 'server';

type Transcript = {readonly hello: HelloMessage; readonly serverIdentity: Identity; readonly serverNonce: string; readonly keyId: string};

function macOf(side: Side, transcript: Transcript, secret: string): string {
	const {hello, serverIdentity, serverNonce, keyId} = transcript;
	const text = JSON.stringify([
		side, hello.protocol, hello.nonce, serverNonce, keyId, identityFields(hello.identity), identityFields(serverIdentity),
	]);
	return createHmac('sha256', secret).update(text).digest('base64url');
}

function identityFields(identity: Identity): unknown[] {
	const {hostId, incarnation, role, hall, upstreamId, pool} = identity;
	return [hostId, incarnation, role, hall, upstreamId ?? '', pool ?? ''];
}

function isEqualTimingSafe(left: string, right: string): boolean {
	const a = new TextEncoder().encode(left);
	const b = new TextEncoder().encode(right);
	return a.byteLength === b.byteLength && timingSafeEqual(a, b);
}

/**
Starts a handshake.
@param identity - identity of the client.
@param keys - the keys of the client.
@returns the first message.
*/
export function makeHello(identity: Identity, keys: readonly WireKey[]): HelloMessage {
	return {
		type: 'hello', protocol: protocolVersion, identity, nonce: newId(), keyIds: keys.map(key => key.keyId),
	};
}

/** State that the server keeps between the steps of a handshake. */
export type ServerHandshake = {readonly welcome: WelcomeMessage; readonly expectedProof: string};

/**
Responds to a hello message.
@param hello - the message of the client.
@param identity - identity of the server.
@param keys - keys of the server; the first one that both sides have is used.
@returns the welcome message with the proof to expect, or why the client is rejected.
*/
export function answerHello(hello: HelloMessage, identity: Identity, keys: readonly WireKey[]): ServerHandshake | {problem: string} {
	if (hello.protocol !== protocolVersion) {
		return {problem: `unsupported protocol version ${hello.protocol}, expected ${protocolVersion}`};
	}

	const key = keys.find(candidate => hello.keyIds.includes(candidate.keyId));
	if (!key) {
		return {problem: 'both sides have no key in common'};
	}

	const nonce = newId();
	const transcript = {
		hello, serverIdentity: identity, serverNonce: nonce, keyId: key.keyId,
	};
	const welcome: WelcomeMessage = {
		type: 'welcome', protocol: protocolVersion, identity, nonce, keyId: key.keyId, mac: macOf('server', transcript, key.secret),
	};
	return {welcome, expectedProof: macOf('client', transcript, key.secret)};
}

/**
Verifies the response to a hello message.
@param hello - the message that was sent.
@param welcome - the response.
@param keys - keys of the client.
@returns the proof to send, or why the server is not trusted.
*/
export function answerWelcome(hello: HelloMessage, welcome: WelcomeMessage, keys: readonly WireKey[]): {proof: string} | {problem: string} {
	const key = keys.find(candidate => candidate.keyId === welcome.keyId);
	const transcript = {
		hello, serverIdentity: welcome.identity, serverNonce: welcome.nonce, keyId: welcome.keyId,
	};
	if (!key || welcome.protocol !== protocolVersion || !isEqualTimingSafe(macOf('server', transcript, key.secret), welcome.mac)) {
		return {problem: 'the server did not prove that it has the key'};
	}

	return {proof: macOf('client', transcript, key.secret)};
}

/**
Verifies the last step of a handshake.
@param handshake - state that the server kept.
@param mac - the proof of the client.
@returns whether the client has the key.
*/
export function isProofValid(handshake: ServerHandshake, mac: string): boolean {
	return isEqualTimingSafe(handshake.expectedProof, mac);
}
