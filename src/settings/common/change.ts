/** Changes of the settings: what is asked, what is accepted, what is refused. */
import {z} from 'zod';
import type {InputProblem} from '../../base/common/errors.js';

const fieldsSchema = z.record(z.string(), z.unknown());

const editSchema = z.strictObject({
	path: z.string().min(1).max(500),
	/** Revision of the node the editor saw; 0 where there was none. */
	baseRevision: z.number().int().nonnegative(),
	/** The node's new own fields; none deletes it. */
	after: fieldsSchema.optional(),
});
/** What an editor wants one node to be. */
export type Edit = z.infer<typeof editSchema>;

export const changeRequestSchema = z.strictObject({
	/** Chosen by the editor: the same id never takes effect twice. */
	changeId: z.string().min(1).max(128),
	reason: z.string().max(2000).default(''),
	edits: z.array(editSchema).min(1).max(100_000),
});
/** A change as asked for. */
export type ChangeRequest = z.infer<typeof changeRequestSchema>;

const acceptedEditSchema = z.strictObject({path: z.string(), before: fieldsSchema.optional(), after: fieldsSchema.optional()});

export const changeSchema = z.strictObject({
	revision: z.number().int().positive(),
	changeId: z.string(),
	author: z.string(),
	reason: z.string(),
	/** When it was accepted, by the accepting host's clock. */
	atMs: z.number(),
	edits: z.array(acceptedEditSchema),
});
/** An accepted change; its row is the audit trail's entry as well. */
export type Change = z.infer<typeof changeSchema>;

/** A node that someone else changed meanwhile. */
export type EditConflict = {
	readonly path: string;
	readonly baseRevision: number;
	readonly revision: number;
	readonly author: string;
	readonly fields?: Readonly<Record<string, unknown>>;
};

/** Why a change was not accepted, or not known to be. */
export type ChangeRefusal
	= | {readonly code: 'invalid'; readonly problems: readonly InputProblem[]}
		| {readonly code: 'conflict'; readonly conflicts: readonly EditConflict[]}
		| {readonly code: 'storeUnavailable'; readonly message: string; readonly mayHaveTakenEffect: boolean};

/** A difference between a declaration and what is in force. */
export type PlannedEdit = {
	readonly kind: 'add' | 'change' | 'remove';
	readonly path: string;
	readonly before?: Readonly<Record<string, unknown>>;
	readonly after?: Readonly<Record<string, unknown>>;
	readonly baseRevision: number;
};
