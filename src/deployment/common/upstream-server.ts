/** One start of one upstream server, as the platform's list or a peer tells of it. */
import {z} from 'zod';

export const upstreamServerSchema = z.object({
	/** Names this start of the server; a restarted server has another. */
	serverId: z.string(),
	pool: z.string(),
	address: z.string(),
	port: z.number().int().positive(),
	hall: z.string(),
	slots: z.number().int().positive(),
	/** Whether it finishes what it has and wants nothing new. */
	isLeaving: z.boolean(),
});
export type UpstreamServer = z.infer<typeof upstreamServerSchema>;

/** A server with the writing of the platform's store that made its entry what it is. */
export type ListedServer = UpstreamServer & {readonly revision: number};

/** All servers that are listed, and which writing of the platform's store the list is as of. */
export type ServerList = {readonly revision: number; readonly servers: readonly ListedServer[]};

/** A list as peers tell it; entries without a revision are as new as the list. */
export const serverListSchema = z.object({
	revision: z.number(),
	servers: z.array(upstreamServerSchema.extend({revision: z.number().optional()})),
}).transform(({revision, servers}): ServerList => ({
	revision,
	servers: servers.map(server => ({...server, revision: server.revision ?? revision})),
}));
