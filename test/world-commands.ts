/** Commands of the fuzzers: something happens in a world, then the world is checked. */
import fc from 'fast-check';

/** The model is the world's own oracle, so fast-check's is empty. */
type Model = Record<string, never>;

/** One thing that happens. */
class WorldCommand<World> implements fc.AsyncCommand<Model, World> {
	constructor(private readonly text: string, private readonly act: (world: World) => Promise<void>) {}

	check(): boolean {
		return true;
	}

	async run(_model: Model, world: World): Promise<void> {
		await this.act(world);
	}

	toString(): string {
		return this.text;
	}
}

/** What a command does with its values. */
export type Act<World, T extends unknown[]> = (world: World, ...args: T) => Promise<void> | void;

/**
Fails the run where a promise is broken.
@param breaches - what the oracle found.
*/
export function assertNoBreaches(breaches: readonly string[]): void {
	if (breaches.length > 0) {
		throw new Error(breaches.join('\n'));
	}
}

/**
Makes the function that makes commands of one kind of world.
@param check - run after each command.
@returns name, values and act in, an arbitrary command out.
*/
export function commandsOf<World>(check: (world: World) => Promise<void>) {
	return <T extends unknown[]>(name: string, values: fc.Arbitrary<T>, act: Act<World, T>) =>
		values.map(args => new WorldCommand<World>(`${name}(${args.join(',')})`, async world => {
			await act(world, ...args);
			await check(world);
		}));
}

/** A world that commands move. */
type SettleableWorld = {
	/** Lets everything come to its end. */
	settle(): Promise<void>;
};

/**
Makes a property: in a new world some commands happen, it comes to its end, and then no promise is broken.
@param commands - what may happen.
@param maxCommands - most commands in one run.
@param makeWorld - makes a world.
@param breaches - tells what is broken in a world that has come to its end.
*/
export function worldProperty<World extends SettleableWorld>(
	commands: ReadonlyArray<fc.Arbitrary<fc.AsyncCommand<Model, World>>>,
	maxCommands: number,
	makeWorld: () => World,
	breaches: (world: World) => Promise<readonly string[]> | readonly string[],
) {
	return fc.asyncProperty(fc.commands([...commands], {maxCommands: maxCommands, size: 'max'}), async run => {
		const world = makeWorld();
		await fc.asyncModelRun(() => ({model: {}, real: world}), run);
		await world.settle();
		assertNoBreaches(await breaches(world));
	});
}
