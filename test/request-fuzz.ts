/** Commands of the request fuzzer, and the property that must hold after any sequence of them. */
import fc from 'fast-check';
import {RequestSimulation, settleMicrotasks, type InjectedDefect} from './request-simulation.js';
import {assertNoBreaches, commandFactory, simulationProperty} from './simulation-commands.js';
import {callSteps} from './simulated-upstream.js';

/** Time after its hard deadline within which every request must be answered. */
const answerMarginMs = 200;
const index = fc.nat(11);

const command = commandFactory<RequestSimulation>(async world => {
	await settleMicrotasks();
	assertNoBreaches(world.oracle.breaches(answerMarginMs));
});

const commandsByName = {
	request: command('request', fc.tuple(index, fc.boolean(), fc.integer({min: 20, max: 1500}), fc.nat(5)), (world, ...args) => {
		world.request(...args);
	}),
	deliver: command('deliver', fc.tuple(index, fc.integer({min: 1, max: 6})), (world, ...args) => {
		world.deliver(...args);
	}),
	call: command('call', fc.tuple(index, index, fc.constantFrom(...callSteps)), (world, ...args) => {
		world.callStep(...args);
	}),
	goOn: command('goOn', fc.tuple(fc.nat(3)), (world, rounds) => {
		world.progress(rounds);
	}),
	advance: command('advance', fc.tuple(fc.constantFrom(10, 10, 30, 30, 100, 300, 1000)), (world, byMs) => {
		world.advance(byMs);
	}),
	disturb: command('disturb', fc.tuple(index, fc.boolean(), fc.boolean()), (world, ...args) => {
		world.duplicateOrReorder(...args);
	}),
	cut: command('cut', fc.tuple(index), (world, link) => {
		world.disconnect(link);
	}),
	reconnect: command('reconnect', fc.tuple(index), (world, link) => {
		world.reconnect(link);
	}),
	crashAgent: command('crashAgent', fc.tuple(index), (world, agent) => {
		world.crashAgent(agent);
	}),
	crashEntry: command('crashEntry', fc.tuple(index), (world, entry) => {
		world.crashEntry(entry);
	}),
	stopAgent: command('stopAgent', fc.tuple(index), (world, agent) => {
		world.stopAgent(agent);
	}),
	leave: command('leave', fc.tuple(index), (world, agent) => {
		world.leave(agent);
	}),
	pause: command('pause', fc.tuple(index), (world, agent) => {
		world.pause(agent);
	}),
	resume: command('resume', fc.tuple(index), (world, agent) => {
		world.resume(agent);
	}),
	callerGone: command('callerGone', fc.tuple(index), (world, caller) => {
		world.callerGone(caller);
	}),
	store: command('store', fc.tuple(fc.constantFrom(true, false, false)), (world, isDown) => {
		world.table.isDown = isDown;
	}),
	dieAfterWrite: command('dieAfterWrite', fc.tuple(), world => {
		world.table.dieAfterWrite = true;
	}),
	loseAnswer: command('loseAnswer', fc.tuple(fc.boolean()), (world, isBefore) => {
		if (isBefore) {
			world.table.loseRequests++;
		} else {
			world.table.loseAnswers++;
		}
	}),
} as const;

/** Commands that let work progress are listed several times, so that faults occur in every state of the work. */
const commands = [
	...Object.values(commandsByName),
	commandsByName.request,
	commandsByName.request,
	commandsByName.request,
	commandsByName.deliver,
	commandsByName.deliver,
	commandsByName.call,
	commandsByName.call,
	commandsByName.goOn,
	commandsByName.goOn,
	commandsByName.goOn,
	commandsByName.goOn,
	commandsByName.reconnect,
	commandsByName.resume,
	commandsByName.disturb,
];

/**
The property: after any sequence of commands, no promise is broken, every request has a result, and no state is left over.
@param maxCommands - upper bound on the commands in one run.
@param defect - defect to inject, which breaks a promise on purpose.
*/
export function requestProperty(maxCommands: number, defect?: InjectedDefect) {
	return simulationProperty(commands, maxCommands, () => new RequestSimulation(defect), world => [...world.oracle.breaches(answerMarginMs), ...world.oracle.unanswered(), ...world.leaks()]);
}
