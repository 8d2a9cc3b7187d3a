/**
 * Requests in progress at an endpoint that has restarted under its id. Load pattern: endpoints are replaced one after the other while long streams run
 * there. Some announce that they leave, some only drop their registration and go on with what they have begun, and some have crashed behind a network
 * partition, so that no packet ends their connections. If the news of the restart ended the requests, all streams of an endpoint that goes on
 * sending would break off at one moment. So the news alone ends nothing. The address tells more: it is assigned again only once the process before has
 * ended. There a request that can go on elsewhere does so once its connection brings nothing any more; at another address the earlier process may be silent for as long as it
 * works, and its own answers, the timeouts of its requests and the probes of the connection tell its end.
 */

/** What is known of a restart. */
export type Restart = {
	readonly id: string;
	/** Whether the earlier incarnation had announced that it leaves. */
	readonly hadAnnouncedLeaving: boolean;
	/** The address of the later incarnation. */
	readonly address: string;
	/** Whether the later incarnation has the address of the earlier one. */
	readonly isAtSameAddress: boolean;
};

/** For how long a connection to an earlier incarnation may bring nothing once its address is assigned again: longer than the pauses of most streams. */
export const silenceMilliseconds = 2000;

/** Whether requests on a connection to this address are given up once they bring nothing more. Several incarnations may end their work at a time, each at its own address. */
export function endsInSilence({hadAnnouncedLeaving, isAtSameAddress, address}: Restart, connectedTo: string): boolean {
	return isAtSameAddress && !hadAnnouncedLeaving && connectedTo === address;
}

/** The part of an answer that had arrived at a time. Milliseconds of the monotonic clock. */
export type Progress = {readonly bytes: number; readonly at: number};

/** What follows from looking at an answer again: it is given up, or looked at again later, compared with `progress`. */
export type SilenceVerdict = {readonly type: 'silent'} | {readonly type: 'look-again'; readonly progress: Progress; readonly milliseconds: number};

/** What an answer shows when it is looked at. `pausedUntil` is the time until which its caller last read too slowly: now while it does, minus infinity if it never has. */
export type Look = {readonly bytes: number; readonly pausedUntil: number; readonly now: number};

/** Judges an answer by what has arrived since an earlier look. While its caller reads too slowly, nothing is read from the endpoint, and silence shows nothing. */
export function judgeSilence(before: Progress, {bytes, pausedUntil, now}: Look): SilenceVerdict {
	const progress = bytes > before.bytes ? {bytes, at: now} : {bytes, at: Math.max(before.at, pausedUntil)};
	const milliseconds = progress.at + silenceMilliseconds - now;
	return milliseconds <= 0 ? {type: 'silent'} : {type: 'look-again', progress, milliseconds};
}
