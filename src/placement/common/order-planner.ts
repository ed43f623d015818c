/** Plans the orders that load and unload models until the engines match the settings, a few engines at a time. */
import type {PoolNode} from '../../settings/common/schema.js';
import type {LoadedModel} from '../../wire/common/messages.js';

/** An engine as last reported. */
export type EngineView = {readonly upstreamId: string; readonly models: readonly LoadedModel[]};

/** One planned order: to load or unload a model or an adapter on one engine. */
export type OrderStep = {
	readonly upstreamId: string;
	readonly kind: 'load' | 'unload';
	readonly model: string;
	readonly version: string;
	readonly adapter?: string;
};

type WantedModel = NonNullable<PoolNode['models']>[number];

/** Maximum share of a pool's engines that change at once, so that the others continue to serve. */
const maxChangingShare = 0.25;

/**
Plans the next orders of a pool.
@param wanted - models, versions and adapters that every engine should have loaded.
@param engines - the live engines of the pool.
@param busy - ids of the engines whose last order is still running.
@returns at most one order for each engine, for no more engines than may change at once.
*/
export function planOrders(wanted: readonly WantedModel[], engines: readonly EngineView[], busy: ReadonlySet<string>): OrderStep[] {
	const maxChanging = Math.max(1, Math.floor(engines.length * maxChangingShare));
	const steps: OrderStep[] = [];
	let changing = engines.filter(engine => busy.has(engine.upstreamId)).length;
	for (const engine of engines) {
		const step = busy.has(engine.upstreamId) ? undefined : nextStep(wanted, engine);
		if (step && changing < maxChanging) {
			steps.push(step);
			changing++;
		}
	}

	return steps;
}

/** Plans loads before unloads, so that an engine never serves less than it could. */
function nextStep(wanted: readonly WantedModel[], {upstreamId, models}: EngineView): OrderStep | undefined {
	for (const {model, version, adapters} of wanted) {
		const loaded = models.find(item => item.model === model);
		if (loaded?.version !== version) {
			return {
				upstreamId, kind: 'load', model, version,
			};
		}

		const adapter = adapters.find(name => !loaded.adapters.includes(name));
		if (adapter !== undefined) {
			return {
				upstreamId, kind: 'load', model, version, adapter,
			};
		}
	}

	return unloadStep(wanted, upstreamId, models);
}

function unloadStep(wanted: readonly WantedModel[], upstreamId: string, models: readonly LoadedModel[]): OrderStep | undefined {
	for (const {model, version, adapters} of models) {
		const want = wanted.find(item => item.model === model);
		if (!want) {
			return {
				upstreamId, kind: 'unload', model, version,
			};
		}

		const adapter = adapters.find(name => !want.adapters.includes(name));
		if (adapter !== undefined) {
			return {
				upstreamId, kind: 'unload', model, version, adapter,
			};
		}
	}

	return undefined;
}
