/** Passes a turn of the event loop in which all sockets are read. After I/O the first callback still runs in the turn that is under way. */
export async function passTurn(): Promise<void> {
	for (let turn = 0; turn < 2; turn++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
