#!/usr/bin/env node
/** The operator's command without the adapter of a platform, which only `cassiaflow routing` needs. */
import {runOperator} from './operator/index.js';

await runOperator();
