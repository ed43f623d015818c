#!/usr/bin/env node
/** The command line of operators and their automation. */
import process from 'node:process';
import {runCommandLine} from './program.js';

process.exitCode = await runCommandLine(process.argv);
