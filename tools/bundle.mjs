/**
 * Bundles the gateway into one script under target/, and stores V8's code cache for it beside it. A start
 * then reads two files and compiles almost nothing. Start time matters because after a power loss of all
 * instances there is no service until they have started.
 */
import {execFileSync} from 'node:child_process';
import {rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import process from 'node:process';
import {build} from 'esbuild';

const script = 'target/cassiaflow-gateway.cjs';
const cache = 'target/cassiaflow-gateway.cache';
/** The flags in deploy/system.toml. V8 rejects a code cache that was created under other flags. */
const flags = ['--max-old-space-size=120', '--max-semi-space-size=8'];

/**
 * Library modules that the gateway never calls and whose evaluation would delay each start: pushing metrics, collecting them over a cluster or of the
 * process, reading and writing histogram logs, and optional dependencies, without which the libraries work too.
 */
/* eslint-disable require-unicode-regexp -- esbuild passes these to Go's regexp engine, which has no such flags */
const unused = {
	emptied: /prom-client\/lib\/(?:pushgateway|cluster|defaultMetrics)\.js$|hdr-histogram-js\/dist\/(?:HistogramLogWriter|HistogramLogReader|Recorder|wasm)\.js$/,
	absent: /^(?:dtrace-provider|mv|safe-json-stringify|source-map-support|cbor-extract)$/,
	any: /.*/,
};
/* eslint-enable require-unicode-regexp */
const leaveOutUnused = {
	name: 'leave-out',
	setup(build) {
		build.onLoad({filter: unused.emptied}, () => ({contents: 'module.exports = {};', loader: 'js'}));
		build.onResolve({filter: unused.absent}, ({path}) => ({path, namespace: 'absent'}));
		build.onLoad({filter: unused.any, namespace: 'absent'}, ({path}) => ({contents: `throw new Error('${path} is left out');`, loader: 'js'}));
	},
};

await build({
	entryPoints: ['platform/cassiaflow-gateway.ts'],
	outfile: script,
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	// Less to read at each start. Names are kept and lines are short, so that stack traces stay readable.
	minifySyntax: true,
	minifyWhitespace: true,
	lineLimit: 200,
	legalComments: 'none',
	logLevel: 'warning',
	// A map beside the script, which nothing reads at run time, tells a profile which module a function is from.
	sourcemap: process.argv.includes('--map') ? 'external' : false,
	plugins: [leaveOutUnused],
});
writeFileSync('target/cassiaflow-gateway.mjs', `import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import vm from 'node:vm';

// A SIGHUP (reload) that arrives while the program is loading must not end it.
process.on('SIGHUP', () => undefined);
const file = new URL('cassiaflow-gateway.cjs', import.meta.url);
const read = name => {
	try {
		return readFileSync(new URL(name, import.meta.url));
	} catch {
		return undefined;
	}
};

const source = readFileSync(file, 'utf8').replace(/^#!.*/, '');
const script = new vm.Script(\`(function (require, module, exports) {\${source}\n})\`, {filename: file.pathname, cachedData: read('cassiaflow-gateway.cache')});
export {script};
const module = {exports: {}};
script.runInThisContext()(createRequire(import.meta.url), module, module.exports);
`);
// Starts the gateway on loopback without a store, so that the code cache includes the functions that run at start.
const settings = `${tmpdir()}/cassiaflow-bundle-${process.pid}.json`;
const anyPort = '127.0.0.1:0';
writeFileSync(settings, JSON.stringify({
	instance: 'bundle', availabilityZone: 'none', callerAddress: anyPort, adminAddress: anyPort, peerAddress: anyPort, storeAddress: '127.0.0.1:9', memoryMegabytes: 100, logLevel: 'fatal',
}));
execFileSync(process.execPath, [...flags, '--input-type=module', '--eval', `
import {writeFileSync} from 'node:fs';
const {script} = await import('${new URL('../target/cassiaflow-gateway.mjs', import.meta.url).href}');
await new Promise(resolve => { setTimeout(resolve, 400); });
writeFileSync('${cache}', script.createCachedData());
process.exit();
`], {env: {...process.env, CASSIAFLOW_CONFIG: settings}});
rmSync(settings);
