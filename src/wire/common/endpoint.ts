/** Where a process listens. */

/** An IP address and a port. */
export type Endpoint = {readonly address: string; readonly port: number};
