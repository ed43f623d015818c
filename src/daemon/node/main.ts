#!/usr/bin/env node
/** The daemon's command line program: `pumicehatchd --settings FILE`. */
import process from 'node:process';
import sade from 'sade';
import {clockToken} from '../../base/common/clock.js';
import {formatProblem} from '../../base/common/errors.js';
import {loggerFactoryToken} from '../../base/common/logger.js';
import {metricsToken} from '../../base/common/metrics.js';
import {detach} from '../../base/common/unexpected-errors.js';
import {reportEnd, reportUnhandledErrors} from '../../base/node/process-end.js';
import {logUnexpectedErrors} from '../../base/node/unexpected-error-log.js';
import {startDaemon} from './daemon.js';
import {loadHostSettings} from './load-host-settings.js';

const exitCodes = {failed: 1, badSettings: 2, stoppedImmediately: 3} as const;

async function run(file: string, isCheckOnly: boolean): Promise<void> {
	const loaded = loadHostSettings(file);
	if (!loaded.ok) {
		for (const problem of loaded.error) {
			process.stderr.write(`${formatProblem(problem)}\n`);
		}

		process.exitCode = exitCodes.badSettings;
		return;
	}

	if (isCheckOnly) {
		process.stdout.write(`${file}: the settings are valid.\n`);
		return;
	}

	const {lifecycle} = await startDaemon(loaded.value, components => {
		logUnexpectedErrors(components.resolve(loggerFactoryToken).for('process'), components.resolve(metricsToken), components.resolve(clockToken));
	});
	let signalCount = 0;
	const stop = () => {
		signalCount++;
		if (signalCount === 1) {
			detach('planned stop', lifecycle.stop());
		} else {
			lifecycle.stopNow();
			process.exitCode = exitCodes.stoppedImmediately;
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	lifecycle.onDidStop(() => {
		// Streams that are still closing get one more turn of the event loop before the process exits.
		setImmediate(() => {
			process.exit();
		});
	});
}

type Flags = {settings?: string; check?: boolean};

sade('pumicehatchd', true)
	.version('0.1.0')
	.describe('Runs one process of pumicehatch: an entry, or the agent beside an upstream.')
	.option('-s, --settings', 'File with the settings of this host, in JSON with comments')
	.option('--check', 'Check the settings and exit')
	.example('--settings /etc/pumicehatch/host.jsonc')
	.action(async (flags: Flags) => {
		if (typeof flags.settings !== 'string') {
			process.stderr.write('pumicehatchd: --settings FILE is required; see --help.\n');
			process.exitCode = exitCodes.badSettings;
			return;
		}

		reportUnhandledErrors();
		try {
			await run(flags.settings, flags.check === true);
		} catch (error) {
			reportEnd('the process can\'t start', error);
			process.exit(exitCodes.failed);
		}
	})
	.parse(process.argv);
