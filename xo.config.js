// Lint and format rules: those of XO, plus the import layers of src/ (see docs/DESIGN.md).

/** The parts of src/, lowest first: each may import only itself and parts before it. */
const layers = [
	['base'],
	['wire'],
	['store'],
	['settings'],
	['deployment'],
	['membership'],
	['routing'],
	['placement'],
	['peers'],
	['quarantine'],
	['request'],
	['preparation'],
	['entry', 'agent', 'direct'],
	['standins'],
	['daemon', 'cli'],
];

function layerRule(level) {
	const above = layers.slice(level + 1).flat();
	const siblings = part => layers[level].filter(name => name !== part);
	return layers[level].flatMap(part => {
		const banned = [...above, ...siblings(part)].map(name => ({
			group: [`**/${name}/**`],
			message: `src/${part} may not import src/${name}: layers import only downwards.`,
		}));
		const noNode = [
			{group: ['**/node/**'], message: 'common/ may not import node/.'},
			{group: ['node:*'], message: 'common/ runs anywhere: no Node.js modules.'},
		];
		return [
			{
				files: [`src/${part}/**/*.ts`],
				rules: {'@typescript-eslint/no-restricted-imports': ['error', {patterns: banned}]},
			},
			{
				files: [`src/${part}/common/**/*.ts`],
				rules: {'@typescript-eslint/no-restricted-imports': ['error', {patterns: [...banned, ...noNode]}]},
			},
		];
	});
}

const config = [
	{ignores: ['dist/**']},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			// The brief asks for the language's customary short names, and takes precedence over XO.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// The table protocol and JSON use null; the code itself prefers undefined.
			'unicorn/no-null': 'off',
			// Tsyringe needs this side-effect import once, before anything else.
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
			// These two rules don't recognize the classes that modern-errors creates as errors.
			'@typescript-eslint/only-throw-error': 'off',
			// A time limit inside a combined signal is lost at the next garbage collection.
			'no-restricted-properties': ['error', {object: 'AbortSignal', property: 'any', message: 'Use TimeLimit.'}],
			'@typescript-eslint/prefer-promise-reject-errors': 'off',
			// XO's own rules contradict each other on an empty constructor body; `{}` stays.
			'@stylistic/curly-newline': ['error', {consistent: true}],
			// These switches handle all other cases in a default branch.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// It does not see uses of a private member in a static method; the compiler checks the same.
			'@typescript-eslint/no-unused-private-class-members': 'off',
			// Its fix removes copies that guard a loop against changes to the iterated collection; it broke a drain once.
			'unicorn/no-useless-spread': 'off',
			// Sequential waits are intended: retry loops and pumps.
			'no-await-in-loop': 'off',
		},
	},
	{
		// The bundler passes these expressions to Go, which has no `v` flag.
		files: ['scripts/bundle.js'],
		rules: {'require-unicode-regexp': 'off'},
	},
	{
		// The library creates error classes with a function, so they are constants in PascalCase.
		files: ['src/base/common/errors.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	...layers.flatMap((_, level) => layerRule(level)),
	{
		files: ['src/**/*.ts', 'platform/**/*.ts'],
		rules: {
			// Work that nothing awaits is started with `detach`, which reports its error.
			'@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// Tests may use the stand-ins, which are in a layer above the part under test.
			'@typescript-eslint/no-restricted-imports': 'off',
			// Tap's `t.test` returns a promise that tap itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
			// Polling is easiest to read as one expression.
			'unicorn/no-await-expression-member': 'off',
			// Tests create malformed values on purpose.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];

export default config;
