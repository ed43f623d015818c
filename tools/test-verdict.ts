/**
The verdict over a whole run of the tests: a run passes if every test did, but for those listed as known to fail.
Reads the lines that tap writes: files stand at the margin, their tests four spaces deep.
*/

/** Most tests that may be listed at a time; what more fails must be mended before it lands. */
export const maxKnownFailures = 3;

/** A test that is known to fail. */
export type KnownFailure = {readonly test: string; readonly cause: string; readonly issue: string};

const testLine = /^ {4}(?<not>not )?ok \d+ - (?<name>.*?)(?: # .*)?(?: \{)?$/v;
/** How many tests a file had; it comes after them, and not at all where the file's process was ended from outside. */
const planLine = /^ {4}1\.\.(?<count>\d+)$/v;
const fileLine = /^(?<not>not )?ok \d+ - (?<name>.*?)(?: # .*)?(?: \{)?$/v;

/**
Reads the list of tests that are known to fail.
@param text - one line for each: the test, its cause and its issue, between bars.
@returns the tests.
@throws Error for a line that lacks a part, and for too many lines.
*/
export function readKnownFailures(text: string): KnownFailure[] {
	const lines = text.split('\n').filter(line => line.trim() !== '');
	if (lines.length > maxKnownFailures) {
		throw new Error(`${lines.length} tests are listed as known to fail; ${maxKnownFailures} may be.`);
	}

	return lines.map(line => {
		const [test = '', cause = '', issue = ''] = line.split('|').map(part => part.trim());
		if (test === '' || cause === '' || issue === '') {
			throw new Error(`A test that is known to fail is listed as "test | cause | issue"; this line is not: ${line}`);
		}

		return {test, cause, issue};
	});
}

/** Counts tests as they end. */
export class TestVerdict {
	/**
	Makes a verdict over nothing so far.
	@param known - tests that may fail.
	*/
	static create(known: readonly KnownFailure[]): TestVerdict {
		return new TestVerdict(known);
	}

	passedCount = 0;
	failedCount = 0;
	/** Listed tests that failed, and listed tests that passed. */
	readonly listedFailed: KnownFailure[] = [];
	readonly listedPassed: KnownFailure[] = [];
	/** Files that failed without a failing test that tells why, as when their process ended early. */
	private unexplainedCount = 0;
	/** Tests of the file being read: all, those that failed, and how many there should be. */
	private countInFile = 0;
	private failedInFile = 0;
	private plannedInFile: number | undefined;

	private constructor(private readonly known: readonly KnownFailure[]) {}

	/** Whether only listed tests failed, and something passed. */
	get hasPassed(): boolean {
		return this.failedCount === 0 && this.unexplainedCount === 0 && this.passedCount > 0;
	}

	/** Takes one line of the output. */
	read(line: string): void {
		const test = testLine.exec(line)?.groups;
		const plan = planLine.exec(line)?.groups;
		const file = fileLine.exec(line)?.groups;
		if (test) {
			this.count(test.name, test.not === undefined);
		} else if (plan) {
			this.plannedInFile = Number(plan.count);
		} else if (file) {
			this.endFile(file.not === undefined);
		}
	}

	/** A file that failed is explained by its tests only if all of them were run. */
	private endFile(isPassed: boolean): void {
		const isExplained = this.failedInFile > 0 && this.countInFile === this.plannedInFile;
		this.unexplainedCount += isPassed || isExplained ? 0 : 1;
		this.countInFile = 0;
		this.failedInFile = 0;
		this.plannedInFile = undefined;
	}

	private count(name: string, isPassed: boolean): void {
		this.countInFile++;
		this.failedInFile += isPassed ? 0 : 1;
		const listed = this.known.find(({test}) => test === name);
		if (listed) {
			(isPassed ? this.listedPassed : this.listedFailed).push(listed);
		} else if (isPassed) {
			this.passedCount++;
		} else {
			this.failedCount++;
		}
	}
}
