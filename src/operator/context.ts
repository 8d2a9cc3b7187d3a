import {type LogClient, type MembershipClient} from '../platform/index.js';

/** The clients and options of the operator's command. */
export type OperatorContext = {
	readonly log: LogClient | undefined;
	readonly members: MembershipClient | undefined;
	/** Admin addresses from the command line; if empty, those of the membership list are used. */
	readonly instances: readonly string[];
	/** Name of the person who publishes, for the audit trail. */
	readonly author: string;
};

/** Thrown if a required setting is missing; the message names its flag. */
export class MissingSettingError extends Error {
	static create(flag: string): MissingSettingError {
		return new MissingSettingError(flag);
	}

	private constructor(flag: string) {
		super(`This command needs ${flag}.`);
		this.name = 'MissingSettingError';
	}
}

/** Returns the log client; throws `MissingSettingError` if none is configured. */
export function requireLog({log}: OperatorContext): LogClient {
	if (!log) {
		throw MissingSettingError.create('--log-url (CASSIAFLOW_LOG_URL)');
	}

	return log;
}
