/** Waits for a promise, for at most `milliseconds`; resolves to true if it was fulfilled in time. Rejects if it rejects first. */
export async function withinMilliseconds(work: Promise<unknown>, milliseconds: number): Promise<boolean> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<boolean>(resolve => {
		timer = setTimeout(() => {
			resolve(false);
		}, milliseconds);
	});
	const isFulfilled = await Promise.race([work.then(() => true), timeout]);
	clearTimeout(timer);
	return isFulfilled;
}
