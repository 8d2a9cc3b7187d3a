import {type Agent, request} from 'node:http';

/** A caller gives up then. */
const deadlineMilliseconds = 3000;

/** Sends a request, reads its response and forgets it; without an agent on a connection of its own. */
export async function sendOne(port: number, {id, kind, agent}: {id: string; kind: string; agent: Agent | undefined}): Promise<void> {
	await new Promise<void>(resolve => {
		const sent = request({
			host: '127.0.0.1', port, method: kind === 'lookup' ? 'GET' : 'POST', path: `/${kind}/1`, ...(agent === undefined ? {agent: false} : {agent}),
			headers: {host: 'studio.example', 'request-id': id, authorization: 'Bearer key-a', 'deadline-ms': String(deadlineMilliseconds)},
		});
		const timer = setTimeout(() => {
			sent.destroy();
		}, deadlineMilliseconds);
		sent.once('response', response => {
			response.resume();
			response.on('error', () => undefined);
		});
		sent.on('error', () => undefined);
		sent.once('close', () => {
			clearTimeout(timer);
			resolve();
		});
		sent.end();
	});
}
