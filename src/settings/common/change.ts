/** Changes of the settings: requests, accepted changes and refusals. */
import {z} from 'zod';
import type {InputProblem} from '../../base/common/errors.js';

const fieldsSchema = z.record(z.string(), z.unknown());

const editSchema = z.strictObject({
	path: z.string().min(1).max(500),
	/** Revision of the node that the edit is based on; 0 if the node did not exist. */
	baseRevision: z.number().int().nonnegative(),
	/** The new own fields of the node; the node is deleted if they are omitted. */
	after: fieldsSchema.optional(),
});
/** The requested state of one node. */
export type Edit = z.infer<typeof editSchema>;

export const changeRequestSchema = z.strictObject({
	/** Chosen by the client. A change id takes effect at most once, so a request can be sent again safely. */
	changeId: z.string().min(1).max(128),
	reason: z.string().max(2000).default(''),
	edits: z.array(editSchema).min(1).max(100_000),
});
/** A requested change. */
export type ChangeRequest = z.infer<typeof changeRequestSchema>;

const acceptedEditSchema = z.strictObject({path: z.string(), before: fieldsSchema.optional(), after: fieldsSchema.optional()});

export const changeSchema = z.strictObject({
	revision: z.number().int().positive(),
	changeId: z.string(),
	author: z.string(),
	reason: z.string(),
	/** Time of acceptance, by the clock of the host that accepted the change. */
	atMs: z.number(),
	edits: z.array(acceptedEditSchema),
});
/** An accepted change. Its row in the table service is also the entry of the audit trail. */
export type Change = z.infer<typeof changeSchema>;

/** A node that another change has modified since the revision that the edit is based on. */
export type EditConflict = {
	readonly path: string;
	readonly baseRevision: number;
	readonly revision: number;
	readonly author: string;
	readonly fields?: Readonly<Record<string, unknown>>;
};

/** Why a change was refused, or why it is not known whether it was accepted. */
export type ChangeRefusal
	= | {readonly code: 'invalid'; readonly problems: readonly InputProblem[]}
		| {readonly code: 'conflict'; readonly conflicts: readonly EditConflict[]}
		| {readonly code: 'storeUnavailable'; readonly message: string; readonly mayHaveTakenEffect: boolean};

/** A difference between a declaration and the settings in force. */
export type PlannedEdit = {
	readonly kind: 'add' | 'change' | 'remove';
	readonly path: string;
	readonly before?: Readonly<Record<string, unknown>>;
	readonly after?: Readonly<Record<string, unknown>>;
	readonly baseRevision: number;
};
