/*
Runs the bundled program with the code cache that `bundle.js` has written next to it, because compiling the program
took more than half of the start time. A cache created by another version of Node.js, or with other
V8 options, is rejected, and the program is then compiled.
*/
const {readFileSync} = require('node:fs');
const path = require('node:path');
const {pathToFileURL} = require('node:url');
const process = require('node:process');
const {Script} = require('node:vm');

const program = path.join(__dirname, 'program.txt');
const script = new Script(readFileSync(program, 'utf8'), {
	filename: program,
	cachedData: readFileSync(path.join(__dirname, 'program.cache')),
});
if (script.cachedDataRejected) {
	process.stderr.write('pumicehatch: the code cache was rejected because it was created by another version of Node.js or with other V8 options.\n');
}

// The program passes its `main` to the callback once its modules are loaded.
script.runInThisContext()(require, pathToFileURL(__filename).href, main => main());
