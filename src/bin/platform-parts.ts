import {type InstanceId} from '../model/index.js';
import {CatalogueFollower, HttpLogClient, HttpMembershipClient, QuarantineLedger} from '../platform/index.js';
import {forPart, type Logger} from '../telemetry/index.js';

/** Timeout of one request to the platform's log or membership list. */
const platformTimeoutMilliseconds = 2000;

type PlatformSettings = {readonly logUrl: string; readonly membersUrl: string};

/** What an entry and a side both need of the platform: its log and its membership list, and what is followed in the log. */
export class PlatformParts implements AsyncDisposable {
	static create(settings: PlatformSettings, instance: InstanceId, logger: Logger): PlatformParts {
		return new PlatformParts(settings, instance, logger);
	}

	readonly catalogue: CatalogueFollower;
	readonly quarantine: QuarantineLedger;
	readonly #settings: PlatformSettings;

	private constructor(settings: PlatformSettings, instance: InstanceId, logger: Logger) {
		const catalogueLog = forPart(logger, 'Catalogue');
		const onLog = (message: string): void => {
			catalogueLog.warn(message);
		};

		this.#settings = settings;
		this.catalogue = CatalogueFollower.create({log: this.createLogClient(), instance, onLog});
		this.quarantine = QuarantineLedger.create({log: this.createLogClient(), onLog});
	}

	createLogClient(): HttpLogClient {
		return HttpLogClient.create({baseUrl: this.#settings.logUrl, timeoutMilliseconds: platformTimeoutMilliseconds});
	}

	createMembershipClient(): HttpMembershipClient {
		return HttpMembershipClient.create({baseUrl: this.#settings.membersUrl, timeoutMilliseconds: platformTimeoutMilliseconds});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.quarantine[Symbol.asyncDispose]();
		await this.catalogue[Symbol.asyncDispose]();
	}
}
