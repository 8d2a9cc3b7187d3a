/** The operator's command as a program, which a platform's adapter completes. */
export {runOperator} from './operator-program.js';
