/** Interface to the platform's list of live and leaving hosts; the list lags behind the actual state. */
import type {InjectionToken} from 'tsyringe';
import {z} from 'zod';
import type {Outcome} from '../../base/common/outcome.js';
import {addressPattern, maxPort} from '../../wire/common/endpoint.js';

export const listedHostSchema = z.object({
	hostId: z.string().min(1),
	role: z.enum({entry: 'entry', agent: 'agent'}),
	address: z.string().regex(addressPattern),
	port: z.number().int().positive().max(maxPort),
	hall: z.string().min(1),
	pool: z.string().optional(),
	state: z.enum({live: 'live', leaving: 'leaving'}),
});

/** A host as the platform lists it. The information may be some seconds old. */
export type ListedHost = z.infer<typeof listedHostSchema>;

/** Why the list could not be read. */
export type HostListFailure = {readonly code: 'unavailable'; readonly message: string};

/** Reads the host list. */
export type HostList = {
	/** @returns all hosts of the deployment. */
	list(): Promise<Outcome<ListedHost[], HostListFailure>>;
};

export const hostListToken: InjectionToken<HostList> = Symbol('HostList');
