import {readFileSync} from 'node:fs';
import {z} from 'zod';
import yargs, {type Argv} from 'yargs';
import {
	flagOf, type Setting, type SettingsDefinition, SettingsError, type SettingsOf, type SettingsProblem, variableOf,
} from './definition/index.js';

type Settings = Readonly<Record<string, Setting>>;
/** A program's settings without `check`, whose type depends on the values of that program. */
type CheckFreeDefinition = Omit<SettingsDefinition<Settings>, 'check'>;
type Environment = Readonly<Record<string, string | undefined>>;

/** The result of reading a command line: run the program, print a text, or report a usage error. */
export type CommandLine<Values>
	= | {readonly type: 'run'; readonly values: Values}
		| {readonly type: 'print'; readonly text: string}
		| {readonly type: 'wrong'; readonly message: string};

/** Parses a program's settings; throws one `SettingsError` that lists every invalid one. */
export function parseSettings<All extends Settings>(definition: SettingsDefinition<All>, commandLine: readonly string[], environment: Environment): SettingsOf<All> {
	const {flags, problems} = readFlags(definition, commandLine);
	const values: Record<string, unknown> = {};
	for (const [name, setting] of Object.entries(definition.settings)) {
		const result = setting.schema.safeParse(flags[flagOf(name)] ?? variable(environment, name));
		if (result.success) {
			values[name] = result.data;
			continue;
		}

		problems.push({setting: name, message: result.error.issues[0]?.message ?? 'is wrong'});
	}

	const checked = values as SettingsOf<All>;
	const allProblems = problems.length > 0 ? problems : definition.check?.(checked) ?? [];
	if (allProblems.length > 0) {
		throw SettingsError.create(definition.program, allProblems);
	}

	return checked;
}

/** Parses a command line at the start of a program, including `--help` and `--version`; invalid settings are returned as a message. */
export async function readCommandLine<All extends Settings>(definition: SettingsDefinition<All>, commandLine: readonly string[], environment: Environment): Promise<CommandLine<SettingsOf<All>>> {
	if (commandLine.includes('--help')) {
		return {type: 'print', text: await createParser(definition).getHelp()};
	}

	if (commandLine.includes('--version')) {
		return {type: 'print', text: packageVersion()};
	}

	try {
		return {type: 'run', values: parseSettings(definition, commandLine, environment)};
	} catch (error) {
		if (error instanceof SettingsError) {
			return {type: 'wrong', message: error.message};
		}

		throw error;
	}
}

/** Returns the version of the product. */
export function packageVersion(): string {
	const text = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8');
	return z.object({version: z.string()}).parse(JSON.parse(text)).version;
}

function readFlags(definition: CheckFreeDefinition, commandLine: readonly string[]): {flags: Readonly<Record<string, string | undefined>>; problems: SettingsProblem[]} {
	const parsed = createParser(definition).parseSync([...commandLine]);
	const flags: Record<string, string | undefined> = {};
	const problems: SettingsProblem[] = [];
	const known = new Set(Object.keys(definition.settings).map(name => flagOf(name)));
	for (const [flag, value] of Object.entries(parsed)) {
		if (known.has(flag)) {
			flags[flag] = value === undefined ? undefined : toText(value);
			continue;
		}

		if (flag !== '_' && flag !== '$0') {
			problems.push({message: `--${flag}: unknown flag`});
		}
	}

	if (parsed._.length > 0) {
		problems.push({message: 'positional arguments are not supported'});
	}

	return {flags, problems};
}

function createParser(definition: CheckFreeDefinition): Argv {
	const parser = yargs([])
		.scriptName(definition.program)
		.usage(`$0 [flags]\n\n${definition.summary}`)
		.parserConfiguration({
			'boolean-negation': false,
			'camel-case-expansion': false,
			'dot-notation': false,
			'duplicate-arguments-array': false,
			'parse-numbers': false,
			'parse-positional-numbers': false,
			'short-option-groups': false,
		})
		.version(false)
		.help(false)
		.exitProcess(false)
		.wrap(null)
		.epilogue('A flag goes before its variable, and a variable before the default.\nExit codes: 0 stopped as asked, 1 failed while running, 2 wrong settings.');
	for (const [name, setting] of Object.entries(definition.settings)) {
		parser.option(flagOf(name), {type: setting.isSwitch === true ? 'boolean' : 'string', description: describe(name, setting)});
	}

	return parser.option('help', {type: 'boolean', description: 'Shows this text.'}).option('version', {type: 'boolean', description: 'Shows the version.'});
}

function describe(name: string, setting: Setting): string {
	const fallback = setting.schema.safeParse(undefined);
	const note = fallback.success ? defaultNote(fallback.data) : ' Needed.';
	return `${setting.description}${note} [${variableOf(name)}]`;
}

function defaultNote(value: unknown): string {
	return value === undefined || value === false ? '' : ` Default: ${toText(value)}.`;
}

function variable(environment: Environment, name: string): string | undefined {
	const text = environment[variableOf(name)];
	return text === '' ? undefined : text;
}

function toText(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value);
}
