/** Preloaded into a process under test: shifts its wall clock, as on an instance whose clock is wrong. */
import process from 'node:process';

const shift = Number(process.env.CLOCK_SHIFT_MILLISECONDS ?? 0);
const now = Date.now.bind(Date);
Date.now = () => now() + shift;
