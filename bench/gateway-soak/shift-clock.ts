/** Loaded before a program under test: its time of day is off, as that of an instance whose clock jumped. */
import process from 'node:process';

const shift = Number(process.env.CLOCK_SHIFT_MILLISECONDS ?? 0);
const now = Date.now.bind(Date);
Date.now = () => now() + shift;
