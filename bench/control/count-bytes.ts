/**
 * Preloaded into a measured process: on SIGUSR2 it writes the number of bytes that its sockets have
 * carried. The kernel's counts of reads and writes would include the wake-ups of the event loop.
 */
import diagnostics from 'node:diagnostics_channel';
import {type Socket} from 'node:net';
import process from 'node:process';

const open = new Set<Socket>();
let closedBytes = 0;

function track(message: unknown): void {
	const {socket} = message as {socket: Socket};
	open.add(socket);
	socket.once('close', () => {
		open.delete(socket);
		closedBytes += socket.bytesRead + socket.bytesWritten;
	});
}

diagnostics.subscribe('net.client.socket', track);
diagnostics.subscribe('net.server.socket', track);
process.on('SIGUSR2', () => {
	const socketBytes = [...open].reduce((total, socket) => total + socket.bytesRead + socket.bytesWritten, closedBytes);
	process.stderr.write(`${JSON.stringify({socketBytes})}\n`);
});
