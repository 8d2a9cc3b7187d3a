import {v7 as uuidv7} from 'uuid';
import {channel, receive, receiveWithin, sleep, spawn, tryDeliver, tryReceive, wait, type Body, type Channel, type Selected} from '../../concurrency/index.js';
import {type LogClient, type LogRecord} from '../../platform/types.js';
import {createClaims, foldClaims, holderOf, skipToOffset, streamOfPartition, type ClaimBatch, type ClaimItem, type Claims} from '../../policy/claims/index.js';
import {type Command, type Settlement} from './commands.js';

/** Commands that wait while an append is on its way; more are refused as not run. */
const inboxCapacity = 1000;
/** Items of one record. */
const largestBatch = 256;
/** Releases and finishes kept for a log that is down; beyond, the oldest key stays held until its window ends. */
const largestBacklog = 4096;
/** Wait between two tries at a log that fails. */
const retryMilliseconds = 50;
const backlogMilliseconds = 500;
const pageLimit = 500;

type Kept
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
 * One claims stream as this entry sees it: a process that puts all claims which arrived during one
 * append into the next, reads up to its own record, and only then says who won.
 */
export class ClaimPartition {
	static create(settings: PartitionSettings): ClaimPartition {
		const partition = new ClaimPartition(settings);
		partition.#done = spawn(`claims ${settings.partition}`, () => partition.#run());
		return partition;
	}

	/** Records appended and pages read, for the log's budget. */
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

	/** False if too much waits already, or the partition is closed: nothing was done. */
	submit(command: Command): boolean {
		return tryDeliver(this.#inbox, command);
	}

	async close(): Promise<void> {
		this.#inbox.close();
		await this.#done;
	}

	* #run(): Body<void> {
		// The stream's past is read before the first claim needs it; a log that is down is met again then.
		yield * this.#readTo(-1, this.#settings.now());
		for (;;) {
			const next = yield * this.#next();
			if (next.type === 'closed') {
				yield * this.#handle([]);
				return;
			}

			yield * this.#handle(next.type === 'value' ? this.#drain(next.value) : []);
		}
	}

	/** The next command; with a backlog the wait is short, as the log may be back. */
	* #next(): Body<Selected<Command>> {
		if (this.#backlog.length > 0) {
			return yield * receiveWithin(this.#inbox, backlogMilliseconds);
		}

		const value = yield * receive(this.#inbox);
		return value === undefined ? {type: 'closed'} : {type: 'value', value};
	}

	#drain(first: Command): Command[] {
		const commands = [first];
		while (commands.length < largestBatch) {
			const more = tryReceive(this.#inbox);
			if (!more) {
				break;
			}

			commands.push(more);
		}

		return commands;
	}

	* #handle(commands: readonly Command[]): Body<void> {
		const live = commands.filter(command => this.#inTime(command));
		const items = [...this.#backlog.splice(0, largestBatch), ...live.flatMap(command => command.type === 'confirm' ? [] : [command.item])];
		const deadline = Math.max(...live.map(command => command.deadline), this.#settings.now() + retryMilliseconds);
		const kept: Kept = items.length > 0 ? yield * this.#append(items, deadline) : {type: 'kept', offset: -1};
		if (kept.type !== 'kept') {
			this.#keepForLater(items);
		}

		const asked = live.some(command => command.type === 'claim' || command.type === 'confirm');
		const read = asked && kept.type !== 'not-kept' ? yield * this.#readTo(kept.type === 'kept' ? kept.offset : -1, deadline) : true;
		for (const command of live) {
			this.#settle(command, kept, read);
		}
	}

	/** A command whose time passed before it was taken up left no trace, so it certainly was not run. */
	#inTime(command: Command): boolean {
		if (command.type === 'finish' || command.type === 'release' || command.deadline > this.#settings.now()) {
			return true;
		}

		command.settle({type: 'not-kept', reason: 'the claim waited too long for the log'});
		return false;
	}

	/** Only what frees or completes keys is written later; a claim whose caller has been answered is not. */
	#keepForLater(items: readonly ClaimItem[]): void {
		this.#backlog = [...this.#backlog, ...items.filter(item => item.type !== 'claim')].slice(-largestBacklog);
	}

	#settle(command: Command, kept: Kept, read: boolean): void {
		switch (command.type) {
			case 'finish': {
				return;
			}

			case 'release': {
				command.settle(kept.type === 'kept');
				return;
			}

			case 'confirm': {
				command.settle(read && kept.type !== 'not-kept' ? this.#holder(command) : {type: 'in-doubt', reason: 'the log can not be read'});
				return;
			}

			case 'claim': {
				this.#settleClaim(command, kept, read);
			}
		}
	}

	#settleClaim(command: Command & {type: 'claim'}, kept: Kept, read: boolean): void {
		if (kept.type === 'kept' && read) {
			command.settle(this.#holder(command));
			return;
		}

		if (kept.type === 'not-kept') {
			command.settle(kept);
			return;
		}

		// Failure: the claim may be kept although its caller has been told to give up. Symptom: the key
		// stays held by a claim that never runs. The release voids the claim, whichever comes first.
		const {key, keyTime, claim} = command.item;
		this.#keepForLater([{type: 'release', key, keyTime, claim}]);
		command.settle({type: 'in-doubt', reason: kept.type === 'in-doubt' ? kept.reason : 'the log can not be read'});
	}

	#holder({key}: {key: {id: string; time: number}}): Settlement {
		return {type: 'read', holder: holderOf(this.#claims, key)};
	}

	/**
	 * Failure: the answer to an append is lost, or the log is down. Symptom: a claim that is in the log
	 * and counts as refused, or the reverse. The same record is appended again, which the fold allows,
	 * and the stream is searched for either copy, until one is certain.
	 */
	* #append(items: readonly ClaimItem[], deadline: number): Body<Kept> {
		const batch: ClaimBatch = {batch: uuidv7(), instance: this.#settings.instance, items: [...items]};
		let doubt = '';
		for (;;) {
			const from = this.#claims.next;
			this.counts.appends += 1;
			const result = yield * wait(this.#settings.log.append(this.#stream, batch));
			if (result.type === 'appended') {
				return {type: 'kept', offset: result.offset};
			}

			if (result.type === 'refused' && doubt === '') {
				return {type: 'not-kept', reason: result.reason};
			}

			doubt = result.reason;
			const found = yield * this.#find(batch.batch, from, deadline);
			if (found !== undefined) {
				return {type: 'kept', offset: found};
			}

			if (this.#settings.now() >= deadline) {
				return {type: 'in-doubt', reason: doubt};
			}

			yield * sleep(retryMilliseconds);
		}
	}

	/** Reads to the end of the stream; the offset of the batch if it is there. */
	* #find(batch: string, from: number, deadline: number): Body<number | undefined> {
		let found: number | undefined;
		yield * this.#readTo(-1, deadline, records => {
			found ??= records.find(({offset, value}) => offset >= from && (value as Partial<ClaimBatch> | undefined)?.batch === batch)?.offset;
		});
		return found;
	}

	/** Folds the stream up to an offset, or to its end if that is -1. False if the log can't be read in time. */
	* #readTo(offset: number, deadline: number, see: (records: readonly LogRecord[]) => void = () => undefined): Body<boolean> {
		let end = offset === -1 ? undefined : offset + 1;
		while (end === undefined || this.#claims.next < end) {
			const page = yield * this.#readPage();
			if (page) {
				see(page.records);
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
			const page = yield * wait(this.#settings.log.read(this.#stream, this.#claims.next, {limit: pageLimit}));
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
