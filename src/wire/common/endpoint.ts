/** Where a process listens. */

/** An IP address and a port. */
export type Endpoint = {readonly address: string; readonly port: number};

const octet = String.raw`(?:25[0-5]|2[0-4]\d|1?\d?\d)`;
/** An IPv4 address; others are not spoken to. */
export const addressPattern = new RegExp(String.raw`^${octet}(?:\.${octet}){3}$`, 'v');
export const maxPort = 65_535;

/**
Reads where a process listens, as another one told it.
@param text - as `10.0.0.1:80`.
@returns nothing for what no connection can be made to.
*/
export function parseEndpoint(text: string): Endpoint | undefined {
	const [address, portText, ...more] = text.split(':');
	const port = /^\d{1,5}$/v.test(portText ?? '') ? Number(portText) : 0;
	const isReadable = more.length === 0 && addressPattern.test(address) && port > 0 && port <= maxPort;
	return isReadable ? {address, port} : undefined;
}
