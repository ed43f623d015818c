/** Addresses at which processes listen. */
import {fail, ok, type Outcome} from '../../base/common/outcome.js';

/** An IP address and a port. */
export type Endpoint = {readonly address: string; readonly port: number};

/** Without leading zeros: some parsers read such a number as octal, and others as a part of a host name. */
const octet = String.raw`(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)`;
/** Matches an IPv4 address; no connections are made to other addresses. */
export const addressPattern = new RegExp(String.raw`^${octet}(?:\.${octet}){3}$`, 'v');
const portPattern = /^(?:0|[1-9]\d{0,4})$/v;
export const maxPort = 65_535;

/**
Parses the endpoint of a process, as received from another process.
@param text - such as `10.0.0.1:80`.
@returns the endpoint, or undefined if no connection can be made to it.
*/
export function parseEndpoint(text: string): Endpoint | undefined {
	const parsed = parseListenEndpoint(text);
	return parsed.ok && parsed.value.port > 0 ? parsed.value : undefined;
}

/**
Parses an endpoint at which this process is to listen.
@param text - such as `10.0.0.1:80`; port 0 selects a free port.
@returns the endpoint, or why it is invalid.
*/
export function parseListenEndpoint(text: string): Outcome<Endpoint, string> {
	const at = text.lastIndexOf(':');
	const [address, portText] = [text.slice(0, Math.max(0, at)), text.slice(at + 1)];
	const port = portPattern.test(portText) ? Number(portText) : -1;
	if (!addressPattern.test(address)) {
		return fail('an address is IP:PORT, and its IP address is not valid');
	}

	return port >= 0 && port <= maxPort ? ok({address, port}) : fail('an address is IP:PORT, and its port is not valid');
}
