/** Mutual authentication by a shared key: an HMAC over nonces and identities of both sides. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {newId} from '../../base/node/ids.js';
import {
	protocolVersion, type HelloMessage, type Identity, type WelcomeMessage,
} from '../common/messages.js';

/** A key both sides know; two are valid at once while keys are changed. */
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
Opens a handshake.
@param identity - who calls.
@param keys - the keys the caller has.
@returns the first message.
*/
export function makeHello(identity: Identity, keys: readonly WireKey[]): HelloMessage {
	return {
		type: 'hello', protocol: protocolVersion, identity, nonce: newId(), keyIds: keys.map(key => key.keyId),
	};
}

/** What a side keeps between the steps of a handshake. */
export type ServerHandshake = {readonly welcome: WelcomeMessage; readonly expectedProof: string};

/**
Answers a hello.
@param hello - the caller's message.
@param identity - who answers.
@param keys - keys of the answering side; the first that both have is used.
@returns the answer with the proof to expect, or why the caller is turned away.
*/
export function answerHello(hello: HelloMessage, identity: Identity, keys: readonly WireKey[]): ServerHandshake | {problem: string} {
	if (hello.protocol !== protocolVersion) {
		return {problem: `protocol ${hello.protocol}, here ${protocolVersion}`};
	}

	const key = keys.find(candidate => hello.keyIds.includes(candidate.keyId));
	if (!key) {
		return {problem: 'no key in common'};
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
Checks an answer to a hello.
@param hello - the message that was sent.
@param welcome - the answer.
@param keys - keys of the calling side.
@returns the proof to send, or why the other side is not trusted.
*/
export function answerWelcome(hello: HelloMessage, welcome: WelcomeMessage, keys: readonly WireKey[]): {proof: string} | {problem: string} {
	const key = keys.find(candidate => candidate.keyId === welcome.keyId);
	const transcript = {
		hello, serverIdentity: welcome.identity, serverNonce: welcome.nonce, keyId: welcome.keyId,
	};
	if (!key || welcome.protocol !== protocolVersion || !isEqualTimingSafe(macOf('server', transcript, key.secret), welcome.mac)) {
		return {problem: 'the other side did not prove that it has the key'};
	}

	return {proof: macOf('client', transcript, key.secret)};
}

/**
Checks the last step of a handshake.
@param handshake - what the answering side kept.
@param mac - the caller's proof.
@returns whether the caller has the key.
*/
export function isProofValid(handshake: ServerHandshake, mac: string): boolean {
	return isEqualTimingSafe(handshake.expectedProof, mac);
}
