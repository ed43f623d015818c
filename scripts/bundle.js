/**
Makes the program of the users' platform: one file with all it needs, the compiled code of what runs at
each start, and the launcher that runs them.
*/
import {copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {builtinModules, createRequire} from 'node:module';
import process from 'node:process';
import {Script} from 'node:vm';
import {build} from 'esbuild';

const folder = process.argv[2] ?? 'target';

/** Modules of Node.js are had by `require`: the program is run as one function, which can't import. */
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
Of the HTTP client only the parts that this program uses, put together as the library's own index does it:
the rest of it (fetch, sockets of the web, caches, mocks) takes a third of a start.
*/
const usedClientParts = `
	import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
	import api from 'undici/lib/api/index.js';
	Object.assign(Dispatcher.prototype, api);
	export {default as Client} from 'undici/lib/dispatcher/client.js';
	export {default as buildConnector} from 'undici/lib/core/connect.js';
`;
const useClientParts = {
	name: 'use-client-parts',
	setup(builder) {
		builder.onResolve({filter: /^undici$/}, ({path}) => ({path, namespace: 'client'}));
		builder.onLoad({filter: /./, namespace: 'client'}, () => ({contents: usedClientParts, resolveDir: '.'}));
	},
};

/** All modules as the text of one function; it hands over the program's `main` once they have run. */
async function bundle() {
	const {outputFiles: [{text}]} = await build({
		stdin: {contents: 'import {main} from \'./platform/main.js\'; handOver(main);', resolveDir: '.', loader: 'ts'},
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		minifyWhitespace: true,
		// Licences stand beside the libraries, which are installed for the build.
		legalComments: 'none',
		write: false,
		logLevel: 'warning',
		// A function has no address of its own: libraries look for optional addons, which are not there, from the launcher's.
		define: {'import.meta.url': 'programUrl'},
		plugins: [requireBuiltins, useClientParts],
	});
	return `(async function (require, programUrl, handOver) {${text}\n})`;
}

/** The modules are run once, so that the functions they call meanwhile are in the compiled code; the program is not started. */
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
