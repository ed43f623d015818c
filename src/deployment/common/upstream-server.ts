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

/** A list of servers, and which writing of the platform's store it is as of. */
export const serverListSchema = z.object({revision: z.number(), servers: z.array(upstreamServerSchema)});
export type ServerList = z.infer<typeof serverListSchema>;
