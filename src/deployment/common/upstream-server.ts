/** One start of one upstream server, as listed by the platform or reported by a peer. */
import {z} from 'zod';
import {addressPattern, maxPort} from '../../wire/common/endpoint.js';
import {count, name, serverId} from '../../wire/common/message-fields.js';

/** Maximum remaining cold time that is accepted; servers are cold for seconds, so an entry with a longer time is invalid. */
export const maxColdMs = 3_600_000;

/** Maximum accepted length of a software version. */
export const maxSoftwareVersionLength = 200;

/** Matches what a header can carry unchanged; calls name the server in a header. */
const headerValuePattern = /^(?! )[ -~\u0080-\u00FF]+(?<! )$/v;
export const instanceIdSchema = name.regex(headerValuePattern, 'it has characters that a header can\'t carry');

export const upstreamServerSchema = z.object({
	/** Identifies this start of the server; a restarted server has another. Everything known about a server is stored under this id. */
	serverId,
	/** Identifies the server across its starts, in the platform's list and in calls to the server. */
	instanceId: instanceIdSchema,
	/** Start time in Unix milliseconds; 0 if its entry does not state it, in which case each start has its own `instanceId`. */
	startedMs: z.number().int().nonnegative(),
	pool: name,
	address: z.string().regex(addressPattern),
	port: z.number().int().positive().max(maxPort),
	hall: name,
	slots: z.number().int().positive(),
	/** Whether it finishes its current work and accepts no new work. */
	isLeaving: z.boolean(),
	/** Remaining time for which it is cold, as of the write of its entry; absent if it is not cold. */
	coldLeftMs: z.number().positive().max(maxColdMs).optional(),
	/** Version of its software. Versions have no order, only equality; absent if it is not known, which equals no version. */
	softwareVersion: z.string().min(1).max(maxSoftwareVersionLength).optional(),
});
export type UpstreamServer = z.infer<typeof upstreamServerSchema>;

/** A server with the revision of the platform's store at which its entry was last written. */
export type ListedServer = UpstreamServer & {readonly revision: number};

/** All listed servers, and the revision of the platform's store that the list represents. */
export type ServerList = {readonly revision: number; readonly servers: readonly ListedServer[]};

const listSchema = z.object({revision: count, servers: z.array(z.unknown())});
/** An entry as sent by peers; one without a revision has the revision of the list. */
const reportedServerSchema = upstreamServerSchema.extend({revision: count.optional()});

/** A list of servers received from a peer. */
export type ReportedServerList = {
	readonly list: ServerList;
	/** Number of entries that could not be parsed and were omitted. */
	readonly unreadableCount: number;
};

/**
Parses a list received from a peer; a malformed entry is omitted without affecting the others.
@param value - the decoded message.
@throws z.ZodError if the value is not a list of servers.
*/
export function parseReportedServers(value: unknown): ReportedServerList {
	const {revision, servers: reported} = listSchema.parse(value);
	const servers = reported.flatMap(entry => {
		const parsed = reportedServerSchema.safeParse(entry);
		return parsed.success ? [{...parsed.data, revision: parsed.data.revision ?? revision}] : [];
	});
	return {list: {revision, servers}, unreadableCount: reported.length - servers.length};
}
