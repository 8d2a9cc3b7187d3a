/**
 * Imported before all other modules by programs that reload on SIGHUP. Without a listener the signal terminates
 * the process, also while its modules are loading and the program has not yet installed its own listener. This
 * listener does nothing, because the settings are read later anyway.
 */
import process from 'node:process';

process.on('SIGHUP', () => undefined);
