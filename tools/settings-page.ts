/** Writes docs/SETTINGS.md from the definitions: `node dist/tools/settings-page.js`. A test keeps it current. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {
	entrySettings, flagOf, type Setting, sideSettings, variableOf,
} from '../src/settings/index.js';

type ProgramDefinition = {
	readonly program: string;
	readonly summary: string;
	readonly settings: Readonly<Record<string, Setting>>;
};

const preface = `# Settings

Written by \`node dist/tools/settings-page.js\`; a test compares it with the definitions in src/settings.

Each setting is a flag or a variable. A flag goes before its variable, a variable before the default, and an
empty variable counts as unset. All are checked at start; one message names every wrong one. Exit codes:
0 stopped as asked, 1 failed while running, 2 wrong settings. \`--help\` and \`--version\` are understood by
every binary.
`;

/** Renders the settings page from the definitions. */
export function renderSettingsPage(): string {
	return [preface, ...[entrySettings, sideSettings].map(definition => renderProgram(definition))].join('\n');
}

function renderProgram({program, summary, settings}: ProgramDefinition): string {
	const rows = Object.entries(settings).map(([name, setting]) => `| \`--${flagOf(name)}\` | \`${variableOf(name)}\` | ${defaultOf(setting)} | ${setting.description} |`);
	return [`## ${program}`, '', summary, '', '| flag | variable | default | meaning |', '|---|---|---|---|', ...rows, ''].join('\n');
}

function defaultOf(setting: Setting): string {
	const parsed = setting.schema.safeParse(undefined);
	if (!parsed.success) {
		return 'needed';
	}

	return parsed.data === undefined ? 'none' : `\`${JSON.stringify(parsed.data).replaceAll('"', '')}\``;
}

if (import.meta.filename === process.argv[1]) {
	writeFileSync('docs/SETTINGS.md', renderSettingsPage());
}
