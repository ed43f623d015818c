// Lint and format rules: XO's own, plus the import layers of src/ (see docs/DESIGN.md).

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
			// The brief asks for the language's customary short names, and goes before XO.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// The table protocol and JSON use null; the code itself prefers undefined.
			'unicorn/no-null': 'off',
			// Tsyringe needs this side-effect import once, before anything else.
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
			// These two rules can't see that the classes modern-errors makes are errors.
			'@typescript-eslint/only-throw-error': 'off',
			// A time limit inside a combined signal goes with the next garbage collection.
			'no-restricted-properties': ['error', {object: 'AbortSignal', property: 'any', message: 'Use TimeLimit.'}],
			'@typescript-eslint/prefer-promise-reject-errors': 'off',
			// XO's own rules pull an empty constructor body both ways; `{}` stays.
			'@stylistic/curly-newline': ['error', {consistent: true}],
			// A default branch is how these switches say `all others`.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// It can't follow a private member used from a static method; the compiler checks the same.
			'@typescript-eslint/no-unused-private-class-members': 'off',
			// Its fix removes copies that guard a loop against changes of what it goes through: it broke a drain once.
			'unicorn/no-useless-spread': 'off',
			// Waits in order are the point where they stand: retry loops and pumps.
			'no-await-in-loop': 'off',
		},
	},
	{
		// The bundler hands these expressions to Go, which knows no `v` flag.
		files: ['scripts/bundle.js'],
		rules: {'require-unicode-regexp': 'off'},
	},
	{
		// The library makes error classes by a function, so they are constants in PascalCase.
		files: ['src/base/common/errors.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	...layers.flatMap((_, level) => layerRule(level)),
	{
		files: ['**/*.test.ts'],
		rules: {
			// Tests may use the stand-ins, which stand above the part they test.
			'@typescript-eslint/no-restricted-imports': 'off',
			// Tap's `t.test` returns a promise that tap itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
			// Polling reads best as one expression.
			'unicorn/no-await-expression-member': 'off',
			// Tests make ill-shaped values on purpose.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];

export default config;
