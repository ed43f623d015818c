/** One start of one upstream server, as the platform's list or a peer tells of it. */
import {z} from 'zod';
import {addressPattern, maxPort} from '../../wire/common/endpoint.js';

/** An entry that tells more is not believed: servers are cold for seconds. */
export const longestColdMs = 3_600_000;

export const upstreamServerSchema = z.object({
	/** Names this start of the server; a restarted server has another. All that is known of a server is kept under it. */
	serverId: z.string(),
	/** Names the server over all its starts, as the platform lists it and as calls to it do. */
	instanceId: z.string(),
	/** When it started, in Unix milliseconds; 0 where its entry does not tell: each start then has an `instanceId` of its own. */
	startedMs: z.number().int().nonnegative(),
	pool: z.string(),
	address: z.string().regex(addressPattern),
	port: z.number().int().positive().max(maxPort),
	hall: z.string(),
	slots: z.number().int().positive(),
	/** Whether it finishes what it has and wants nothing new. */
	isLeaving: z.boolean(),
	/** How much longer it is cold, as of its entry's writing; absent where it is not. */
	coldLeftMs: z.number().positive().max(longestColdMs).optional(),
});
export type UpstreamServer = z.infer<typeof upstreamServerSchema>;

/** A server with the writing of the platform's store that made its entry what it is. */
export type ListedServer = UpstreamServer & {readonly revision: number};

/** All servers that are listed, and which writing of the platform's store the list is as of. */
export type ServerList = {readonly revision: number; readonly servers: readonly ListedServer[]};

const listSchema = z.object({revision: z.number(), servers: z.array(z.unknown())});
/** An entry as peers tell it; one without a revision is as new as the list. */
const toldServerSchema = upstreamServerSchema.extend({revision: z.number().optional()});

/** A list that a peer told. */
export type ToldServerList = {
	readonly list: ServerList;
	/** Entries that could not be read; they name no server. */
	readonly unreadableCount: number;
};

/**
Reads a list that a peer told; a strange entry costs no more than itself.
@param value - as decoded.
@throws z.ZodError for what is no list at all.
*/
export function readToldServers(value: unknown): ToldServerList {
	const {revision, servers: told} = listSchema.parse(value);
	const servers = told.flatMap(entry => {
		const parsed = toldServerSchema.safeParse(entry);
		return parsed.success ? [{...parsed.data, revision: parsed.data.revision ?? revision}] : [];
	});
	return {list: {revision, servers}, unreadableCount: told.length - servers.length};
}
