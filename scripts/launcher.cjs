/*
Runs the bundled program with its compiled code, which `bundle.js` has put beside it: compiling it anew
took more than half of a start. Code of another version of Node.js is not taken; it is compiled then.
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
	process.stderr.write('pumicehatch: the compiled code was not taken; it is of another version of Node.js.\n');
}

// The program hands over its `main` once its modules are there.
script.runInThisContext()(require, pathToFileURL(__filename).href, main => main());
