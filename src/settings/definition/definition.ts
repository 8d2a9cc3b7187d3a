import {type z} from 'zod';

/** One setting. Its flag and variable are derived from its name. */
export type Setting = {
	/** Parses the text of the flag or variable; a default makes the setting optional. */
	readonly schema: z.ZodType;
	readonly description: string;
	/** True for a flag without a value. */
	readonly isSwitch?: boolean;
};

type Settings = Readonly<Record<string, Setting>>;

/** The typed values of a definition's settings. */
export type SettingsOf<All extends Settings> = {readonly [Name in keyof All]: z.output<All[Name]['schema']>};

/** An error in one setting. The message must not contain the value, which may be a secret. */
export type SettingsProblem = {
	/** The setting's name, or undefined for the command line as a whole. */
	readonly setting?: string;
	readonly message: string;
};

/** A program's settings. */
export type SettingsDefinition<All extends Settings> = {
	readonly program: string;
	/** One sentence for `--help`. */
	readonly summary: string;
	readonly settings: All;
	/** Checks combinations of settings, after each setting has been validated by itself. */
	readonly check?: (values: SettingsOf<All>) => readonly SettingsProblem[];
};

/** Returns a definition unchanged, with the types of its settings inferred. */
export function defineSettings<All extends Settings>(definition: SettingsDefinition<All>): SettingsDefinition<All> {
	return definition;
}

/** The flag of a setting without leading hyphens: `listen-port` for `listenPort`. */
export function flagOf(name: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}

/** The environment variable of a setting: `CASSIAFLOW_LISTEN_PORT` for `listenPort`. */
export function variableOf(name: string): string {
	return `CASSIAFLOW_${flagOf(name).replaceAll('-', '_').toUpperCase()}`;
}

/** All errors in a program's settings, in one message. */
export class SettingsError extends Error {
	static create(program: string, problems: readonly SettingsProblem[]): SettingsError {
		return new SettingsError(program, problems);
	}

	readonly problems: readonly SettingsProblem[];

	private constructor(program: string, problems: readonly SettingsProblem[]) {
		super([`${program}: invalid settings:`, ...problems.map(problem => `  ${describe(problem)}`), `See ${program} --help.`].join('\n'));
		this.name = 'SettingsError';
		this.problems = problems;
	}
}

function describe({setting, message}: SettingsProblem): string {
	return setting === undefined ? message : `--${flagOf(setting)} (${variableOf(setting)}): ${message}`;
}
