/** Commands of the request fuzzer, and the property that must hold after any sequence of them. */
import fc from 'fast-check';
import {RequestSimulation, settleMicrotasks, type InjectedDefect} from './request-simulation.js';
import {assertNoBreaches, commandFactory, simulationProperty} from './simulation-commands.js';
import {callSteps} from './simulated-upstream.js';

/** Time after its hard deadline within which every request must be answered. */
const answerMarginMs = 200;
const index = fc.nat(11);

const command = commandFactory<RequestSimulation>(async simulation => {
	await settleMicrotasks();
	assertNoBreaches(simulation.oracle.breaches(answerMarginMs));
});

const commandsByName = {
	request: command('request', fc.tuple(index, fc.boolean(), fc.integer({min: 20, max: 1500}), fc.nat(5)), (simulation, ...args) => {
		simulation.request(...args);
	}),
	deliver: command('deliver', fc.tuple(index, fc.integer({min: 1, max: 6})), (simulation, ...args) => {
		simulation.deliver(...args);
	}),
	call: command('call', fc.tuple(index, index, fc.constantFrom(...callSteps)), (simulation, ...args) => {
		simulation.callStep(...args);
	}),
	goOn: command('goOn', fc.tuple(fc.nat(3)), (simulation, rounds) => {
		simulation.progress(rounds);
	}),
	advance: command('advance', fc.tuple(fc.constantFrom(10, 10, 30, 30, 100, 300, 1000)), (simulation, byMs) => {
		simulation.advance(byMs);
	}),
	disturb: command('disturb', fc.tuple(index, fc.boolean(), fc.boolean()), (simulation, ...args) => {
		simulation.duplicateOrReorder(...args);
	}),
	cut: command('cut', fc.tuple(index), (simulation, link) => {
		simulation.disconnect(link);
	}),
	reconnect: command('reconnect', fc.tuple(index), (simulation, link) => {
		simulation.reconnect(link);
	}),
	crashAgent: command('crashAgent', fc.tuple(index), (simulation, agent) => {
		simulation.crashAgent(agent);
	}),
	crashEntry: command('crashEntry', fc.tuple(index), (simulation, entry) => {
		simulation.crashEntry(entry);
	}),
	stopAgent: command('stopAgent', fc.tuple(index), (simulation, agent) => {
		simulation.stopAgent(agent);
	}),
	leave: command('leave', fc.tuple(index), (simulation, agent) => {
		simulation.leave(agent);
	}),
	pause: command('pause', fc.tuple(index), (simulation, agent) => {
		simulation.pause(agent);
	}),
	resume: command('resume', fc.tuple(index), (simulation, agent) => {
		simulation.resume(agent);
	}),
	callerGone: command('callerGone', fc.tuple(index), (simulation, caller) => {
		simulation.callerGone(caller);
	}),
	store: command('store', fc.tuple(fc.constantFrom(true, false, false)), (simulation, isDown) => {
		simulation.table.isDown = isDown;
	}),
	dieAfterWrite: command('dieAfterWrite', fc.tuple(), simulation => {
		simulation.table.crashAfterWrite = true;
	}),
	loseAnswer: command('loseAnswer', fc.tuple(fc.boolean()), (simulation, isBefore) => {
		if (isBefore) {
			simulation.table.requestsToLose++;
		} else {
			simulation.table.responsesToLose++;
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
	return simulationProperty(commands, maxCommands, () => new RequestSimulation(defect), simulation =>
		[...simulation.oracle.breaches(answerMarginMs), ...simulation.oracle.unanswered(), ...simulation.leaks()]);
}
