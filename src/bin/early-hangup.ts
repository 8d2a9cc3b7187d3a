/**
 * Imported before everything else by programs that reload at SIGHUP. Failure: the signal comes while the
 * program still loads, before it listens for it. Symptom: the process ends, which is what the signal does
 * to whoever ignores it. Nothing has to be done then: the settings have not been read yet.
 */
import process from 'node:process';

process.on('SIGHUP', () => undefined);
