import process from 'node:process';

/**
 * Ends the process with an exit code as soon as its output is written, however slowly it is read. Without the explicit
 * end the process would wait until nothing is open: a forgotten timer or a connection that stays half closed would
 * keep a stopped process alive until it is killed. And Node would first take back the listeners of signals: one that arrives
 * then would end the process by itself, as if it had failed.
 */
export async function endProcess(code: number): Promise<never> {
	await Promise.all([written(process.stdout), written(process.stderr)]);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- every binary ends here
}

/** Resolves once all that was written to a stream is with the operating system, or its reader is gone. */
async function written(stream: NodeJS.WriteStream): Promise<void> {
	await new Promise<void>(resolve => {
		stream.once('error', () => {
			resolve();
		});
		stream.write('', () => {
			resolve();
		});
	});
}
