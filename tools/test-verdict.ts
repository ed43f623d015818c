/**
Decides whether a run of all tests passes: every test must pass, except those listed as known to fail.
Reads the output of tap, in which lines of files are not indented and lines of their tests are indented by four spaces.
*/

/** Maximum number of listed tests; any further failing test must be fixed before a change is merged. */
export const maxKnownFailures = 9;

/** A test that is known to fail. */
export type KnownFailure = {readonly test: string; readonly cause: string; readonly issue: string};

const testLine = /^ {4}(?<not>not )?ok \d+ - (?<name>.*?)(?: # .*)?(?: \{)?$/v;
/** Number of tests in a file. This line follows the tests of the file, and is missing if the process of the file was terminated from outside. */
const planLine = /^ {4}1\.\.(?<count>\d+)$/v;
const fileLine = /^(?<not>not )?ok \d+ - (?<name>.*?)(?: # .*)?(?: \{)?$/v;

/**
Reads the list of tests that are known to fail.
@param text - one line for each test: its name, cause and issue, separated by `|`.
@returns the tests.
@throws Error if a line lacks a field, or if there are too many lines.
*/
export function readKnownFailures(text: string): KnownFailure[] {
	const lines = text.split('\n').filter(line => line.trim() !== '');
	if (lines.length > maxKnownFailures) {
		throw new Error(`${lines.length} tests are listed as known to fail; at most ${maxKnownFailures} may be listed.`);
	}

	return lines.map(line => {
		const [test = '', cause = '', issue = ''] = line.split('|').map(part => part.trim());
		if (test === '' || cause === '' || issue === '') {
			throw new Error(`A known failure must be listed as "test | cause | issue", but this line is not: ${line}`);
		}

		return {test, cause, issue};
	});
}

/** Counts passed and failed tests from the output of tap. */
export class TestVerdict {
	/**
	Creates a verdict without any results yet.
	@param known - tests that are allowed to fail.
	*/
	static create(known: readonly KnownFailure[]): TestVerdict {
		return new TestVerdict(known);
	}

	passedCount = 0;
	failedCount = 0;
	/** Listed tests that failed, and listed tests that passed. */
	readonly listedFailed: KnownFailure[] = [];
	readonly listedPassed: KnownFailure[] = [];
	/** Number of failed files whose failure is not explained by a failed test, such as files whose process exited early. */
	private unexplainedCount = 0;
	/** Tests of the current file: number read, number failed, and number planned. */
	private countInFile = 0;
	private failedInFile = 0;
	private plannedInFile: number | undefined;

	private constructor(private readonly known: readonly KnownFailure[]) {}

	/** Whether only listed tests failed and at least one other test passed. */
	get hasPassed(): boolean {
		return this.failedCount === 0 && this.unexplainedCount === 0 && this.passedCount > 0;
	}

	/** Processes one line of the output. */
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

	/** Ends the current file. Its failed tests explain its failure only if all of its planned tests were run. */
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
