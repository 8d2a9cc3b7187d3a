import {type CachedPartsResponse, type DutyReceiver, type DutyStore, type PeerRecord, type RequestCodec, type StoredBuilds, type StoredCrashes, type StoreFeeds} from '../gateway/index.js';
import {type PartLogger} from '../telemetry/index.js';

/** The platform-specific parts: the translation of requests and the access to the store and the engines. */
export type GatewayAdapter = {
	readonly codec: RequestCodec;
	readonly readyPath: string;
	openStore(address: string, logger: PartLogger): GatewayStore;
	/** The receiver of what the holder of the duties reports and orders. */
	openDutyReceiver(address: string): DutyReceiver;
	/** Asks a model engine which prompt parts it has cached. */
	readCachedParts(address: string): Promise<CachedPartsResponse>;
};

export type GatewayStore = AsyncDisposable & StoreFeeds & {
	readonly duties: DutyStore;
	/** Replaces what an instance has stored of crashes; removes it if there is none. */
	writeCrashes(stored: StoredCrashes): Promise<void>;
	/** The builds that instances have stored, by service. */
	readBuilds(): Promise<readonly StoredBuilds[]>;
	/** Replaces the builds of a service. */
	writeBuilds(stored: StoredBuilds): Promise<void>;
	/** Registers a listener for the first response from a newer era of the store; the era is its generation number, which rises when it is restored from a backup. */
	onEra(listener: (era: number) => void): void;
	announce(record: PeerRecord): Promise<void>;
	retract(instance: string): Promise<void>;
};
