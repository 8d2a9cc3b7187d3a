import {type Writable} from 'node:stream';

/** Resolves when a stream takes more, or will never take anything again. */
export async function drainedOrClosed(stream: Writable): Promise<void> {
	if (!stream.writableNeedDrain || stream.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		const settle = () => {
			stream.off('drain', settle);
			stream.off('close', settle);
			resolve();
		};

		stream.once('drain', settle);
		stream.once('close', settle);
	});
}
