/** Settings of the binaries: defined once, read from flags and CASSIAFLOW_* variables. */
export {
	defineSettings, flagOf, type Setting, type SettingsDefinition, type SettingsOf, SettingsError, variableOf,
} from './definition/index.js';
export {type CommandLine, packageVersion, parseSettings, readCommandLine} from './command-line.js';
export {endProcess} from './end-process.js';
export {ExitCode, runProgram} from './run-program.js';
export {entrySettings, type EntrySettings} from './entry-settings.js';
export {sideSettings, type SideSettings} from './side-settings.js';
export {platformSettings, processSettings, transportSettings} from './shared-settings.js';
export {readSecurity} from './security.js';
export * from './schemas.js';
