import {type Writable} from 'node:stream';

/** Resolves when a stream accepts more data, or is closed. */
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
