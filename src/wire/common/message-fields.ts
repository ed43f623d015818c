/** Fields that messages have in common. */
import {z} from 'zod';

export const id = z.string().min(1).max(128);
export const name = z.string().min(1).max(200);
/** One server process of an upstream: its name in the platform's list, with the time of its start. */
export const serverId = z.string().min(1).max(256);
/** Identifies the content of a request; the same for all attempts, whatever their ids. */
export const contentId = z.string().length(32);
export const count = z.number().int().nonnegative();
export const ms = z.number().nonnegative();
/** Upper bound on the length of the handle of a result: hosts pass it on to each other. */
export const maxHandleLength = 256;
export const handle = z.string().max(maxHandleLength);
export const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes');
