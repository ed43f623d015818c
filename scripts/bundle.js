/**
Builds the program of the users' platform: a bundle with all of its dependencies, a code cache of the functions that run at
each start, and the launcher that runs them.
*/
import {copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {builtinModules, createRequire} from 'node:module';
import process from 'node:process';
import {Script} from 'node:vm';
import {build} from 'esbuild';

const folder = process.argv[2] ?? 'target';

/** Loads the built-in modules of Node.js with `require`, because the bundle runs as one function, which can't contain imports. */
const requireBuiltins = {
	name: 'require-builtins',
	setup(builder) {
		const names = new Set(builtinModules.flatMap(name => [name, `node:${name}`]));
		builder.onResolve({filter: /./}, ({path, kind}) =>
			names.has(path) && kind === 'import-statement' ? {path, namespace: 'builtin'} : undefined);
		builder.onLoad({filter: /./, namespace: 'builtin'}, ({path}) => ({contents: `module.exports = require(${JSON.stringify(path)});`}));
	},
};

/**
Only the parts of the HTTP client that the program uses, combined as in the library's own index. Loading the other parts
(fetch, WebSocket, caches, mocks) takes a third of the start time.
*/
const usedClientParts = `
	import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
	import api from 'undici/lib/api/index.js';
	Object.assign(Dispatcher.prototype, api);
	export {default as Client} from 'undici/lib/dispatcher/client.js';
	export {default as buildConnector} from 'undici/lib/core/connect.js';
	export {default as DecoratorHandler} from 'undici/lib/handler/decorator-handler.js';
`;
const useClientParts = {
	name: 'use-client-parts',
	setup(builder) {
		builder.onResolve({filter: /^undici$/}, ({path}) => ({path, namespace: 'client'}));
		builder.onLoad({filter: /./, namespace: 'client'}, () => ({contents: usedClientParts, resolveDir: '.'}));
	},
};

/** Returns the source of one function that contains all modules and passes the program's `main` to a callback once they have run. */
async function bundle() {
	const {outputFiles: [{text}]} = await build({
		stdin: {contents: 'import {main} from \'./platform/main.js\'; onLoaded(main);', resolveDir: '.', loader: 'ts'},
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		minifyWhitespace: true,
		// Licenses are omitted from the bundle; they are next to the libraries, which are installed for the build.
		legalComments: 'none',
		write: false,
		logLevel: 'warning',
		// A function has no module URL, so libraries get that of the launcher, from which they look for optional addons (there are none).
		define: {'import.meta.url': 'programUrl'},
		plugins: [requireBuiltins, useClientParts],
	});
	return `(async function (require, programUrl, onLoaded) {${text}\n})`;
}

/** Creates the code cache. Runs the modules once, so that it includes the functions that are called on loading; the program is not started. */
async function compile(program) {
	const script = new Script(program, {filename: 'program.txt'});
	await new Promise((resolve, reject) => {
		script.runInThisContext()(createRequire(import.meta.url), import.meta.url, resolve).catch(reject);
	});
	return script.createCachedData();
}

mkdirSync(folder, {recursive: true});
const program = await bundle();
writeFileSync(`${folder}/program.txt`, program);
writeFileSync(`${folder}/program.cache`, await compile(program));
copyFileSync('scripts/launcher.cjs', `${folder}/main.cjs`);
