/** Commands of the fuzzers: each performs an action in a simulation, and checks the simulation afterwards. */
import fc from 'fast-check';

/** The model of fast-check commands is empty, because each simulation has its own oracle. */
type Model = Record<string, never>;

/** A command that performs one action in a simulation. */
class SimulationCommand<Simulation> implements fc.AsyncCommand<Model, Simulation> {
	constructor(private readonly text: string, private readonly act: (simulation: Simulation) => Promise<void>) {}

	check(): boolean {
		return true;
	}

	async run(_model: Model, simulation: Simulation): Promise<void> {
		await this.act(simulation);
	}

	toString(): string {
		return this.text;
	}
}

/** The action of a command, called with its generated arguments. */
export type CommandAction<Simulation, T extends unknown[]> = (simulation: Simulation, ...args: T) => Promise<void> | void;

/**
Fails the run if a promise is broken.
@param breaches - broken promises that the oracle found.
@throws Error that lists them.
*/
export function assertNoBreaches(breaches: readonly string[]): void {
	if (breaches.length > 0) {
		throw new Error(breaches.join('\n'));
	}
}

/**
Creates a factory of commands for one kind of simulation.
@param check - check that runs after each command.
@returns function that takes a name, the arbitrary arguments and an action, and returns the arbitrary command.
*/
export function commandFactory<Simulation>(check: (simulation: Simulation) => Promise<void>) {
	return <T extends unknown[]>(name: string, values: fc.Arbitrary<T>, act: CommandAction<Simulation, T>) =>
		values.map(args => new SimulationCommand<Simulation>(`${name}(${args.join(',')})`, async simulation => {
			await act(simulation, ...args);
			await check(simulation);
		}));
}

/** A simulation whose running work can be brought to an end. */
type SettleableSimulation = {
	/** Ends all faults and lets all running work finish. */
	settle(): Promise<void>;
};

/**
Creates a property: after any sequence of commands in a new simulation, once its work has finished, no promise is broken.
@param commands - arbitrary commands to choose from.
@param maxCommands - upper bound on the commands in one run.
@param createSimulation - creates a simulation.
@param breaches - returns the broken promises of a simulation whose work has finished.
*/
export function simulationProperty<Simulation extends SettleableSimulation>(
	commands: ReadonlyArray<fc.Arbitrary<fc.AsyncCommand<Model, Simulation>>>,
	maxCommands: number,
	createSimulation: () => Simulation,
	breaches: (simulation: Simulation) => Promise<readonly string[]> | readonly string[],
) {
	return fc.asyncProperty(fc.commands([...commands], {maxCommands, size: 'max'}), async run => {
		const simulation = createSimulation();
		await fc.asyncModelRun(() => ({model: {}, real: simulation}), run);
		await simulation.settle();
		assertNoBreaches(await breaches(simulation));
	});
}
