import {readFileSync} from 'node:fs';
import {SettingsError, type SettingsProblem} from './definition.js';

/** How processes of the system talk to each other; the texts are PEM. */
export type Transport
	= | {readonly type: 'plaintext'}
		| {readonly type: 'tls'; readonly key: string; readonly certificate: string; readonly authority: string};

type TransportFiles = {
	readonly tlsKeyFile?: string | undefined;
	readonly tlsCertificateFile?: string | undefined;
	readonly tlsAuthorityFile?: string | undefined;
	readonly insecurePlaintext: boolean;
};

/** Reads the PEM files that checked settings name; throws one `SettingsError` for all that can't be read. */
export function readTransport(program: string, files: TransportFiles): Transport {
	if (files.insecurePlaintext) {
		return {type: 'plaintext'};
	}

	const problems: SettingsProblem[] = [];
	const read = (setting: 'tlsKeyFile' | 'tlsCertificateFile' | 'tlsAuthorityFile') => {
		try {
			return readPem(files[setting] ?? '');
		} catch {
			problems.push({setting, message: 'the file can\'t be read as PEM'});
			return '';
		}
	};

	const transport: Transport = {type: 'tls', key: read('tlsKeyFile'), certificate: read('tlsCertificateFile'), authority: read('tlsAuthorityFile')};
	if (problems.length > 0) {
		throw SettingsError.create(program, problems);
	}

	return transport;
}

function readPem(path: string): string {
	const text = readFileSync(path, 'utf8');
	if (!text.includes('-----BEGIN ')) {
		throw new Error('The file holds no PEM block.');
	}

	return text;
}
