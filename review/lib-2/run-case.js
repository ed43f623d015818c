/** Runs a case: writes its record, ends what it started, and exits as the rule was kept or broken. */
import process from 'node:process';
import {note, writeRecord} from './calls.js';

/** Whether the script brings about its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';
const limitMs = 110_000;

/**
Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
@param folder - URL of the folder of the case.
@param play - plays the case; gets a function that registers what is to be ended, and returns what it found.
*/
export async function runCase(folder, play) {
	const ends = [];
	let code = 2;
	const limit = new Promise((_resolve, reject) => {
		setTimeout(() => {
			reject(new Error('the case took too long'));
		}, limitMs);
	});
	try {
		const {isBroken, found} = await Promise.race([limit, play(end => {
			ends.unshift(end);
		})]);
		code = isBroken ? 1 : 0;
		note(`RESULT ${isBroken ? 'broken' : 'held'}${hasTrouble ? '' : ' (without the disruption)'}: ${found}`);
		console.log(`${isBroken ? 'broken' : 'held'}: ${found}`);
	} catch (error) {
		note(`RESULT could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
	}

	for (const end of ends) {
		await end();
	}

	writeRecord(folder);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}
