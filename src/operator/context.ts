import {type LogClient, type MembershipClient} from '../platform/index.js';

/** What the operator's command works with. */
export type OperatorContext = {
	readonly log: LogClient | undefined;
	readonly members: MembershipClient | undefined;
	/** Admin addresses given by hand; empty means those of the membership list. */
	readonly instances: readonly string[];
	/** Who publishes, for the audit trail. */
	readonly author: string;
};

/** A command lacks a setting; the message names its flag. */
export class MissingSettingError extends Error {
	static create(flag: string): MissingSettingError {
		return new MissingSettingError(flag);
	}

	private constructor(flag: string) {
		super(`This command needs ${flag}.`);
		this.name = 'MissingSettingError';
	}
}

/** The log, for a command that can't do without. */
export function requireLog({log}: OperatorContext): LogClient {
	if (!log) {
		throw MissingSettingError.create('--log-url (CASSIAFLOW_LOG_URL)');
	}

	return log;
}
