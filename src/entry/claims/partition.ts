import {v7 as uuidv7} from 'uuid';
import {channel, receive, receiveWithin, sleep, spawn, tryDeliver, tryReceive, wait, type Body, type Channel, type Selected} from '../../concurrency/index.js';
import {type LogClient, type LogRecord} from '../../platform/index.js';
import {createClaims, foldClaims, holderOf, skipToOffset, streamOfPartition, type ClaimBatch, type ClaimItem, type Claims} from '../../policy/claims/index.js';
import {type Command, type CommandResult} from './commands.js';

/** Commands that may wait during an append; further ones are refused as not run. */
const inboxCapacity = 1000;
/** Maximum number of backlog items, and of commands, in one record. */
const maxBatchItems = 256;
/** Releases and finishes that wait for an unavailable log; beyond this the oldest is dropped, and its key stays held until its window ends. */
const maxBacklogItems = 4096;
/** Pause between two attempts to use a log that fails. */
const retryMilliseconds = 50;
/** How long a partition with a backlog waits for a command before it tries to append the backlog. */
const backlogRetryMilliseconds = 500;
const maxPageRecords = 500;

type AppendResult
	= | {readonly type: 'kept'; readonly offset: number}
		| {readonly type: 'not-kept'; readonly reason: string}
		| {readonly type: 'in-doubt'; readonly reason: string};

export type PartitionSettings = {
	readonly log: LogClient;
	readonly instance: string;
	readonly partition: number;
	now(): number;
};

/**
 * One claims stream, as seen by this entry. Its process appends all claims that arrived during one append in
 * the next record (group commit), reads the stream up to that record, and only then reports which claims won.
 */
export class ClaimPartition {
	static create(settings: PartitionSettings): ClaimPartition {
		const partition = new ClaimPartition(settings);
		partition.#done = spawn(`claims ${settings.partition}`, () => partition.#run());
		return partition;
	}

	/** Numbers of append and page read operations. */
	readonly counts = {appends: 0, reads: 0};
	readonly #settings: PartitionSettings;
	readonly #stream: string;
	readonly #inbox: Channel<Command> = channel<Command>(inboxCapacity);
	#claims: Claims = createClaims();
	#backlog: ClaimItem[] = [];
	#done: Promise<void> = Promise.resolve();

	private constructor(settings: PartitionSettings) {
		this.#settings = settings;
		this.#stream = streamOfPartition(settings.partition);
	}

	/** False if the inbox is full or the partition is closed; the command then has no effect. */
	submit(command: Command): boolean {
		return tryDeliver(this.#inbox, command);
	}

	/** Handles the queued commands and then stops, without waiting for an unavailable log. */
	async close(): Promise<void> {
		this.#inbox.close();
		await this.#done;
	}

	* #run(): Body<void> {
		// Reads the stream before the first claim needs it. If the log is unavailable, the first claim reads it.
		yield * this.#readTo(-1, this.#settings.now());
		for (;;) {
			const next = yield * this.#nextCommand();
			if (next.type === 'closed') {
				yield * this.#handle([]);
				return;
			}

			yield * this.#handle(next.type === 'value' ? this.#takeBatch(next.value) : []);
		}
	}

	/** Waits for the next command; with a backlog only briefly, since the log may be available again. */
	* #nextCommand(): Body<Selected<Command>> {
		if (this.#backlog.length > 0) {
			return yield * receiveWithin(this.#inbox, backlogRetryMilliseconds);
		}

		const value = yield * receive(this.#inbox);
		return value === undefined ? {type: 'closed'} : {type: 'value', value};
	}

	#takeBatch(first: Command): Command[] {
		const commands = [first];
		while (commands.length < maxBatchItems) {
			const more = tryReceive(this.#inbox);
			if (!more) {
				break;
			}

			commands.push(more);
		}

		return commands;
	}

	* #handle(commands: readonly Command[]): Body<void> {
		const live = commands.filter(command => this.#checkDeadline(command));
		const items = [...this.#backlog.splice(0, maxBatchItems), ...live.flatMap(command => command.type === 'confirm' ? [] : [command.item])];
		const deadline = Math.max(...live.map(command => command.deadline), this.#settings.now() + retryMilliseconds);
		const appended: AppendResult = items.length > 0 ? yield * this.#append(items, deadline) : {type: 'kept', offset: -1};
		if (appended.type !== 'kept') {
			this.#addToBacklog(items);
		}

		const needsRead = live.some(command => command.type === 'claim' || command.type === 'confirm');
		const isRead = needsRead && appended.type !== 'not-kept' ? yield * this.#readTo(appended.type === 'kept' ? appended.offset : -1, deadline) : true;
		for (const command of live) {
			this.#settle(command, appended, isRead);
		}
	}

	/**
	 * Rejects a command whose deadline passed before it was handled, and returns false; its request certainly did not
	 * run, since nothing was appended. Releases and finishes never expire.
	 */
	#checkDeadline(command: Command): boolean {
		if (command.type === 'finish' || command.type === 'release' || command.deadline > this.#settings.now()) {
			return true;
		}

		command.settle({type: 'not-kept', reason: 'the claim waited too long for the log'});
		return false;
	}

	/** Queues items to be appended later. Claims are dropped, since their callers have been refused already. */
	#addToBacklog(items: readonly ClaimItem[]): void {
		this.#backlog = [...this.#backlog, ...items.filter(item => item.type !== 'claim')].slice(-maxBacklogItems);
	}

	#settle(command: Command, appended: AppendResult, isRead: boolean): void {
		switch (command.type) {
			case 'finish': {
				return;
			}

			case 'release': {
				command.settle(appended.type === 'kept');
				return;
			}

			case 'confirm': {
				command.settle(isRead && appended.type !== 'not-kept' ? this.#holder(command) : {type: 'in-doubt', reason: 'the log cannot be read'});
				return;
			}

			case 'claim': {
				this.#settleClaim(command, appended, isRead);
			}
		}
	}

	#settleClaim(command: Command & {type: 'claim'}, appended: AppendResult, isRead: boolean): void {
		if (appended.type === 'kept' && isRead) {
			command.settle(this.#holder(command));
			return;
		}

		if (appended.type === 'not-kept') {
			command.settle(appended);
			return;
		}

		// The claim may be in the log although its caller is refused, and the key would stay held by a claim
		// that never runs. The release voids the claim, in whichever order the two are appended.
		const {key, keyTime, claim} = command.item;
		this.#addToBacklog([{type: 'release', key, keyTime, claim}]);
		command.settle({type: 'in-doubt', reason: appended.type === 'in-doubt' ? appended.reason : 'the log cannot be read'});
	}

	#holder({key}: {key: {id: string; time: number}}): CommandResult {
		return {type: 'read', holder: holderOf(this.#claims, key)};
	}

	/**
	 * Appends items as one record. If the response to an append is lost or the log is unavailable, it is unknown
	 * whether the record is in the log. A claim in the log could then be treated as refused, or one that is not in the
	 * log as won. The same record is therefore appended again, which the fold tolerates, and the stream is searched
	 * for either copy, until one is found or the deadline passes.
	 */
	* #append(items: readonly ClaimItem[], deadline: number): Body<AppendResult> {
		const batch: ClaimBatch = {batch: uuidv7(), instance: this.#settings.instance, items: [...items]};
		let failureReason = '';
		for (;;) {
			const from = this.#claims.next;
			this.counts.appends += 1;
			const result = yield * wait(this.#settings.log.append(this.#stream, batch));
			if (result.type === 'appended') {
				return {type: 'kept', offset: result.offset};
			}

			if (result.type === 'refused' && failureReason === '') {
				return {type: 'not-kept', reason: result.reason};
			}

			failureReason = result.reason;
			const found = yield * this.#findBatch(batch.batch, from, deadline);
			if (found !== undefined) {
				return {type: 'kept', offset: found};
			}

			if (this.#settings.now() >= deadline) {
				return {type: 'in-doubt', reason: failureReason};
			}

			yield * sleep(retryMilliseconds);
		}
	}

	/** Reads to the end of the stream; returns the offset of the batch if it was found. */
	* #findBatch(batch: string, from: number, deadline: number): Body<number | undefined> {
		let found: number | undefined;
		yield * this.#readTo(-1, deadline, records => {
			found ??= records.find(({offset, value}) => offset >= from && (value as Partial<ClaimBatch> | undefined)?.batch === batch)?.offset;
		});
		return found;
	}

	/** Folds the stream up to an offset, or to its end if that is -1. False if the log cannot be read before the deadline. */
	* #readTo(offset: number, deadline: number, onRecords: (records: readonly LogRecord[]) => void = () => undefined): Body<boolean> {
		let end = offset === -1 ? undefined : offset + 1;
		while (end === undefined || this.#claims.next < end) {
			const page = yield * this.#readPage();
			if (page) {
				onRecords(page.records);
				end ??= page.next;
			} else if (this.#settings.now() >= deadline) {
				return false;
			} else {
				yield * sleep(retryMilliseconds);
			}
		}

		return true;
	}

	* #readPage(): Body<{records: readonly LogRecord[]; next: number} | undefined> {
		this.counts.reads += 1;
		try {
			const page = yield * wait(this.#settings.log.read(this.#stream, this.#claims.next, {limit: maxPageRecords}));
			if (page.type === 'gone') {
				this.#claims = skipToOffset(this.#claims, page.first);
				return {records: [], next: page.next};
			}

			this.#claims = foldClaims(this.#claims, page.records);
			return page;
		} catch {
			return undefined;
		}
	}
}
