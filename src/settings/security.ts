import {readFileSync} from 'node:fs';
import {type Security} from '../wire/index.js';
import {SettingsError, type SettingsProblem} from './definition/index.js';

type TransportFiles = {
	readonly tlsKeyFile?: string | undefined;
	readonly tlsCertificateFile?: string | undefined;
	readonly tlsAuthorityFile?: string | undefined;
	readonly insecurePlaintext: boolean;
};

/** Reads the PEM files named in validated settings; throws one `SettingsError` that lists all files that can't be read. */
export function readSecurity(program: string, files: TransportFiles): Security {
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

	const security: Security = {type: 'mutual-tls', key: read('tlsKeyFile'), certificate: read('tlsCertificateFile'), authority: read('tlsAuthorityFile')};
	if (problems.length > 0) {
		throw SettingsError.create(program, problems);
	}

	return security;
}

function readPem(path: string): string {
	const text = readFileSync(path, 'utf8');
	if (!text.includes('-----BEGIN ')) {
		throw new Error('The file holds no PEM block.');
	}

	return text;
}
