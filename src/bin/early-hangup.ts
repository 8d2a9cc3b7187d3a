/**
 * Imported before all other modules by programs that reload on SIGHUP. Without a listener the signal terminates
 * the process, so that a SIGHUP during loading, before the program installs its own listener, would end it. This
 * listener does nothing, since the settings have not been read yet at that time.
 */
import process from 'node:process';

process.on('SIGHUP', () => undefined);
