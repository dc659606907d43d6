import importX from 'eslint-plugin-import-x';

// Layers from the lowest to the highest. A layer imports only itself and the ones before it.
const layers = [
	'base/common',
	'base/node',
	'contracts',
	'core',
	'adapters',
	'platform',
	'generated',
	'services',
	'stand-ins',
	'program',
	'measure',
];

// Layers without sockets, files or timers.
const pureLayers = new Set(['base/common', 'contracts', 'core']);

const zones = layers.slice(0, -1).map((layer, position) => ({
	target: `./src/${layer}`,
	from: layers.slice(position + 1).map((higher) => `./src/${higher}`),
	message: 'Layers import one way: see docs/design.md, section 3.',
}));

const pureZones = [...pureLayers].map((layer) => ({
	target: `./src/${layer}`,
	from: ['./src/base/node', './src/adapters', './src/generated'],
	message: 'This layer has no input or output.',
}));

/** @type {import('xo').FlatXoConfig} */
export default [
	{
		ignores: ['build/**', 'target/**', 'src/generated/**', 'xo.config.js'],
	},
	{
		prettier: true,
		plugins: {layers: importX},
		rules: {
			'layers/no-restricted-paths': [
				'error',
				{zones: [...zones, ...pureZones]},
			],
			// JSON and protocol shapes of outside systems contain null.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Retry loops and ordered message handling await inside loops on purpose.
			'no-await-in-loop': 'off',
			// Options objects and readonly class fields already bound the number of parameters.
			'max-params': ['error', 5],
			// Wire formats use their own case.
			'@typescript-eslint/naming-convention': 'off',
			// Ordering by array spread plus sort is fine on the supported Node.js versions.
			'unicorn/no-array-sort': 'off',
			'unicorn/no-array-reverse': 'off',
			// Short callbacks read better in place.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prefer-event-target': 'off',
			'capitalized-comments': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'unicorn/no-process-exit': 'off',
			// A readonly field shows the value of an error or record in logs; a getter does not.
			'@typescript-eslint/class-literal-property-style': ['error', 'fields'],
			// The v flag needs a newer compilation target than Node.js 20 is given here.
			'require-unicode-regexp': 'off',
			// Disagrees with Prettier on empty blocks.
			'@stylistic/curly-newline': 'off',
			// Branded ids are made by assertion at the place that mints them.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: [
			'src/base/common/**/*.ts',
			'src/contracts/**/*.ts',
			'src/core/**/*.ts',
		],
		rules: {
			'no-restricted-imports': [
				'error',
				{
					paths: [
						'node:fs',
						'node:net',
						'node:http',
						'node:https',
						'node:timers',
						'node:timers/promises',
						'undici',
						'hono',
					],
				},
			],
			'no-restricted-globals': [
				'error',
				'setTimeout',
				'setInterval',
				'fetch',
				'Date',
				'performance',
			],
		},
	},
	{
		files: ['test/**/*.ts'],
		rules: {
			// The test functions of node:test return promises that the runner awaits itself.
			'@typescript-eslint/no-floating-promises': 'off',
			'@typescript-eslint/no-unsafe-assignment': 'off',
			// Tests unwrap results in place.
			'unicorn/no-await-expression-member': 'off',
			// Tests read JSON answers as clients do, without types.
			'@typescript-eslint/no-unsafe-return': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-explicit-any': 'off',
		},
	},
];
