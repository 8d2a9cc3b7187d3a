/**
 * Bundles the gateway into one script under target/, and stores what the engine compiled of it beside
 * it. A start then reads two files and compiles next to nothing: after a power loss of all instances,
 * every tenth of a second of start is one without service.
 */
import {execFileSync} from 'node:child_process';
import {rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import process from 'node:process';
import {build} from 'esbuild';

const script = 'target/cassiaflow-gateway.cjs';
const cache = 'target/cassiaflow-gateway.cache';
/** The flags of deploy/system.toml: code compiled under others is refused. */
const flags = ['--max-old-space-size=120', '--max-semi-space-size=8'];

/**
 * Parts of libraries that the gateway never calls, and whose evaluation would delay each start: what pushes metrics or gathers them over a cluster or of the
 * process, what reads and writes histograms, and optional parts that are found by name. Libraries do without the optional ones.
 */
/* eslint-disable require-unicode-regexp -- esbuild hands these to another engine, which knows no flags */
const unused = {
	emptied: /prom-client\/lib\/(?:pushgateway|cluster|defaultMetrics)\.js$|hdr-histogram-js\/dist\/(?:HistogramLogWriter|HistogramLogReader|Recorder|wasm)\.js$/,
	absent: /^(?:dtrace-provider|mv|safe-json-stringify|source-map-support|cbor-extract)$/,
	any: /.*/,
};
/* eslint-enable require-unicode-regexp */
const leaveOut = {
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
	// Less to read at each start; names stay and lines are short, so that stack traces can be read.
	minifySyntax: true,
	minifyWhitespace: true,
	lineLimit: 200,
	legalComments: 'none',
	logLevel: 'warning',
	plugins: [leaveOut],
});
writeFileSync('target/cassiaflow-gateway.mjs', `import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import vm from 'node:vm';

// A hangup that comes while the program still loads must not end it.
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
// A start on loopback without a store, so that what a start runs is compiled and stored too.
const settings = `${tmpdir()}/cassiaflow-bundle-${process.pid}.json`;
const local = '127.0.0.1:0';
writeFileSync(settings, JSON.stringify({
	instance: 'bundle', availabilityZone: 'none', callerAddress: local, adminAddress: local, peerAddress: local, storeAddress: '127.0.0.1:9', memoryMegabytes: 100, logLevel: 'fatal',
}));
execFileSync(process.execPath, [...flags, '--input-type=module', '--eval', `
import {writeFileSync} from 'node:fs';
const {script} = await import('${new URL('../target/cassiaflow-gateway.mjs', import.meta.url).href}');
await new Promise(resolve => { setTimeout(resolve, 400); });
writeFileSync('${cache}', script.createCachedData());
process.exit();
`], {env: {...process.env, CASSIAFLOW_CONFIG: settings}});
rmSync(settings);
