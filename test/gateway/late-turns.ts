/** Holds up each turn of this process's event loop, and so all gateways and stand-ins in it, until the result is disposed of. */
export function holdTurns(milliseconds: number): Disposable {
	let isEnded = false;
	const turn = (): void => {
		if (isEnded) {
			return;
		}

		const until = performance.now() + milliseconds;
		while (performance.now() < until) {
			// The event loop reads nothing meanwhile.
		}

		setImmediate(turn);
	};

	setImmediate(turn);
	return {
		[Symbol.dispose]() {
			isEnded = true;
		},
	};
}
