/** Addresses at which processes listen. */

/** An IP address and a port. */
export type Endpoint = {readonly address: string; readonly port: number};

const octet = String.raw`(?:25[0-5]|2[0-4]\d|1?\d?\d)`;
/** Matches an IPv4 address; no connections are made to other addresses. */
export const addressPattern = new RegExp(String.raw`^${octet}(?:\.${octet}){3}$`, 'v');
export const maxPort = 65_535;

/**
Parses the endpoint of a process, as received from another process.
@param text - such as `10.0.0.1:80`.
@returns the endpoint, or undefined if no connection can be made to it.
*/
export function parseEndpoint(text: string): Endpoint | undefined {
	const [address, portText, ...more] = text.split(':');
	const port = /^\d{1,5}$/v.test(portText ?? '') ? Number(portText) : 0;
	const isReadable = more.length === 0 && addressPattern.test(address) && port > 0 && port <= maxPort;
	return isReadable ? {address, port} : undefined;
}
