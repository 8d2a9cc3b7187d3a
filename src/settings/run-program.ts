import process from 'node:process';
import {readCommandLine} from './command-line.js';
import {endProcess} from './end-process.js';
import {type Setting, type SettingsDefinition, SettingsError, type SettingsOf} from './definition/index.js';

/** The exit codes of every binary. */
export const ExitCode = {ok: 0, failure: 1, usage: 2} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/**
 * Runs a program with the settings of the process's command line and environment, and ends the process. `main`
 * resolves after a requested shutdown; an error that `main` throws is reported on standard error.
 */
export async function runProgram<All extends Readonly<Record<string, Setting>>>(definition: SettingsDefinition<All>, main: (values: SettingsOf<All>) => Promise<void>): Promise<never> {
	const commandLine = await readCommandLine(definition, process.argv.slice(2), process.env);
	switch (commandLine.type) {
		case 'print': {
			process.stdout.write(`${commandLine.text}\n`);
			return endProcess(ExitCode.ok);
		}

		case 'wrong': {
			process.stderr.write(`${commandLine.message}\n`);
			return endProcess(ExitCode.usage);
		}

		case 'run': {
			return endProcess(await runMain(definition.program, async () => main(commandLine.values)));
		}
	}
}

async function runMain(program: string, main: () => Promise<void>): Promise<ExitCode> {
	try {
		await main();
		return ExitCode.ok;
	} catch (error) {
		if (error instanceof SettingsError) {
			process.stderr.write(`${error.message}\n`);
			return ExitCode.usage;
		}

		process.stderr.write(`${program}: ${error instanceof Error ? error.message : 'The program failed.'}\n`);
		return ExitCode.failure;
	}
}
