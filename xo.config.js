/** XO's rules as they stand; each exception names the reason it is needed. */
export default [
	{ignores: ['dist/**', 'target/**', 'schema/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// Processes are generators: the waits of a loop run in order by design.
			'no-await-in-loop': 'off',
			// Messages carry the names of published protocols, such as finish_reason.
			'@typescript-eslint/naming-convention': 'off',
			// A constant object in place of an enum shares its name with its type.
			'@typescript-eslint/no-redeclare': 'off',
			// Yields of a js-csp process and decoded frames have no static type.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Node's event callbacks are wrapped in promises by hand in a few named places.
			'@typescript-eslint/promise-function-async': 'off',
			// Short import and parameter lists read better on one line.
			'@stylistic/object-curly-newline': 'off',
			// Exhaustive switches over unions are checked by the compiler's noImplicitReturns.
			'default-case': 'off',
		},
	},
	{
		files: ['test/**/*.ts', 'bench/**/*.ts', 'fakes/**/*.ts'],
		rules: {
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];
