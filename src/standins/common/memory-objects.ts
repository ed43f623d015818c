/** Simulation of the platform's object store. */
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {ObjectFailure, ObjectStore} from '../../store/common/object-store.js';

/** Object store in memory, which can be made unavailable with `isDown`. */
export class MemoryObjects implements ObjectStore {
	static create(): MemoryObjects {
		return new MemoryObjects();
	}

	isDown = false;
	private readonly texts = new Map<string, string>();

	async get(name: string): Promise<Outcome<string | undefined, ObjectFailure>> {
		return this.isDown ? fail({code: 'unavailable', message: 'the object store is down'}) : ok(this.texts.get(name));
	}

	async put(name: string, text: string): Promise<Outcome<undefined, ObjectFailure>> {
		if (this.isDown) {
			return fail({code: 'unavailable', message: 'the object store is down'});
		}

		this.texts.set(name, text);
		return ok(undefined);
	}
}
