#!/usr/bin/env node
/** Runs one pattern with one variant and prints the results as one line of JSON. */
import process from 'node:process';
import {figuresOf} from './figures.js';
import {patterns} from './patterns.js';
import {runPattern} from './run.js';
import {variants} from './variants.js';

const [patternName, variantName, seed] = process.argv.slice(2);
const pattern = patterns.find(({name}) => name === patternName);
const variant = variants.find(({name}) => name === variantName);
if (pattern === undefined || variant === undefined) {
	throw new Error(`No pattern ${patternName} or no variant ${variantName}`);
}

const figures = figuresOf(await runPattern(pattern, variant, Number(seed)));
process.stdout.write(`${JSON.stringify(figures)}\n`, () => {
	// The callers' keep-alive connections would keep the process running for a while.
	process.exit(0);
});
