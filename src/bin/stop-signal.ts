import process from 'node:process';

/** Resolves at the first SIGTERM or SIGINT: the platform's or an operator's wish for a planned stop. */
export async function stopSignal(): Promise<NodeJS.Signals> {
	return new Promise(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
	});
}

/** Resolves with the work, or after the time, whichever is first; true if the work was done. */
export async function withinMilliseconds(work: Promise<unknown>, milliseconds: number): Promise<boolean> {
	let timer: NodeJS.Timeout | undefined;
	const patience = new Promise<boolean>(resolve => {
		timer = setTimeout(() => {
			resolve(false);
		}, milliseconds);
	});
	const done = await Promise.race([work.then(() => true), patience]);
	clearTimeout(timer);
	return done;
}
