/**
 * Bundles the programs of a deployment into one file each under target/, so that a start reads one
 * file instead of hundreds. Libraries in CommonJS get the `require` that they expect.
 */
import {build} from 'esbuild';

await build({
	entryPoints: {'cassiaflow-gateway': 'platform/cassiaflow-gateway.ts'},
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	// Less to read and compile at each start; names stay, so that stack traces can be read.
	minifySyntax: true,
	minifyWhitespace: true,
	lineLimit: 200,
	legalComments: 'none',
	logLevel: 'warning',
	// Optional native parts that these libraries do without.
	external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support', 'cbor-extract'],
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
});
