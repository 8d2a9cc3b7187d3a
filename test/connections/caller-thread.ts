import net from 'node:net';
import {parentPort, Worker, workerData} from 'node:worker_threads';

/** What one caller writes, and when. */
export type CallerPlan = {
	/** When its connection is opened, and each text written, counted from the start of the plan. */
	readonly opensAtMilliseconds?: number;
	readonly writes: ReadonlyArray<{readonly atMilliseconds: number; readonly text: string}>;
	/** Until when it reads nothing. */
	readonly readsAtMilliseconds?: number;
	/** When it leaves; one that reads nothing meanwhile ends its side of the connection, any other one resets it. */
	readonly leavesAtMilliseconds?: number;
};

/** What one caller has seen until its connection was closed. */
export type CallerResult = {readonly text: string; readonly error: string | undefined; readonly closedAtMilliseconds: number};

type Task = {readonly port: number; readonly plans: readonly CallerPlan[]};

/** Callers with an event loop of their own: what they write arrives while that of the server is blocked. Resolves once all connections are closed. */
export async function runCallers(port: number, plans: readonly CallerPlan[], onStart: () => void = () => undefined): Promise<CallerResult[]> {
	const task: Task = {port, plans};
	const worker = new Worker(new URL(import.meta.url), {workerData: task});
	const results = new Promise<CallerResult[]>((resolve, reject) => {
		worker.on('message', (message: 'started' | CallerResult[]) => {
			if (message === 'started') {
				onStart();
			} else {
				resolve(message);
			}
		});
		worker.once('error', reject);
	});
	const received = await results;
	await worker.terminate();
	return received;
}

function at(milliseconds: number, act: () => void): void {
	if (milliseconds === 0) {
		act();
	} else {
		setTimeout(act, milliseconds);
	}
}

async function runCaller(port: number, {writes, readsAtMilliseconds, leavesAtMilliseconds}: CallerPlan): Promise<CallerResult> {
	const startedAt = performance.now();
	const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: false});
	let text = '';
	let error: string | undefined;
	const read = (): void => {
		socket.on('data', (bytes: Uint8Array) => {
			text += String(bytes);
		});
	};

	at(readsAtMilliseconds ?? 0, read);
	socket.on('error', ({message}) => {
		error = message;
	});
	for (const write of writes) {
		at(write.atMilliseconds, () => {
			socket.write(write.text);
		});
	}

	if (leavesAtMilliseconds !== undefined) {
		at(leavesAtMilliseconds, () => {
			socket.destroy();
		});
	}

	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return {text, error, closedAtMilliseconds: performance.now() - startedAt};
}

async function runTask({port, plans}: Task): Promise<void> {
	parentPort!.postMessage('started');
	parentPort!.postMessage(await Promise.all(plans.map(async plan => {
		await new Promise<void>(resolve => {
			at(plan.opensAtMilliseconds ?? 0, resolve);
		});
		return runCaller(port, plan);
	})));
}

if (parentPort !== null) {
	await runTask(workerData as Task);
}
