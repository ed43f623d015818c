#!/usr/bin/env node
/** Entry point of the command line for operators and their automation. */
import process from 'node:process';
import {runCommandLine} from './program.js';

process.exitCode = await runCommandLine(process.argv);
