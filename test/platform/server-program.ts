/** Program that runs a model server, whose streams have no length and do not end, in a process of its own; it prints the server's entry. Its argument is the server's id. */
import process from 'node:process';
import {ServerStandin} from './server-standin.js';

const server = await ServerStandin.create(process.argv[2], 5);
server.isUnframed = true;
server.eventCount = Infinity;
process.stdout.write(`${JSON.stringify(server.entry('model'))}\n`);
