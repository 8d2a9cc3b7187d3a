/** A record of a claims stream, as the platform's log returns it. */
export type LogEntry = {readonly offset: number; readonly time: number; readonly value: unknown};
