/** Interface to the platform's object store. */
import type {InjectionToken} from 'tsyringe';
import type {Outcome} from '../../base/common/outcome.js';

/** Why an object could not be read or written. */
export type ObjectFailure = {readonly code: 'unavailable'; readonly message: string};

/** Stores texts under names. */
export type ObjectStore = {
	/**
	Reads an object.
	@param name - name of the object.
	@returns the text, or undefined if there is no such object.
	*/
	get(name: string): Promise<Outcome<string | undefined, ObjectFailure>>;
	/**
	Writes an object, replacing all of its former text.
	@param name - name of the object.
	@param text - the text to store.
	*/
	put(name: string, text: string): Promise<Outcome<undefined, ObjectFailure>>;
};

export const objectStoreToken: InjectionToken<ObjectStore> = Symbol('ObjectStore');
