import csp from 'js-csp';

/**
 * The body of a process: a generator that yields channel operations and ends with a value.
 * Delegate to the operations of this folder with `yield*`, which keeps their result types.
 */
export type Body<Result> = Generator<unknown, Result, unknown>;

/** Handles an error that a process body threw. The default terminates the program. */
export type OnFailure = (name: string, error: unknown) => void;

/**
 * Starts a process under supervision; the promise settles with its result. An error inside a plain js-csp
 * goroutine surfaces in a timer callback without a name, or is lost in a channel without a reader, so that
 * a request or a connection never ends. Here it rejects the promise and is reported once, with the process name.
 */
export function spawn<Result>(name: string, body: () => Body<Result>, onFailure: OnFailure = endProgram): Promise<Result> {
	return new Promise<Result>((resolve, reject) => {
		csp.spawn(supervise(name, body, {resolve, reject, onFailure}));
	});
}

type Settlement<Result> = {
	resolve: (result: Result) => void;
	reject: (error: unknown) => void;
	onFailure: OnFailure;
};

function * supervise<Result>(name: string, body: () => Body<Result>, settlement: Settlement<Result>): Body<void> {
	try {
		settlement.resolve(yield * body());
	} catch (error) {
		settlement.reject(error);
		settlement.onFailure(name, error);
	}
}

function endProgram(name: string, error: unknown): void {
	queueMicrotask(() => {
		throw new Error(`Process ${name} failed.`, {cause: error});
	});
}
