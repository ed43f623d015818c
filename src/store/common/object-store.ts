/** Port to the platform's object store. */
import type {InjectionToken} from 'tsyringe';
import type {Outcome} from '../../base/common/outcome.js';

/** Why an object could not be had or kept. */
export type ObjectFailure = {readonly code: 'unavailable'; readonly message: string};

/** Keeps texts by name. */
export type ObjectStore = {
	/**
	Reads an object.
	@param name - its name.
	@returns the text, or nothing where there is none.
	*/
	get(name: string): Promise<Outcome<string | undefined, ObjectFailure>>;
	/**
	Writes an object whole.
	@param name - its name.
	@param text - what to keep.
	*/
	put(name: string, text: string): Promise<Outcome<undefined, ObjectFailure>>;
};

export const objectStoreToken: InjectionToken<ObjectStore> = Symbol('ObjectStore');
