/** Splits `HOST:PORT` at its last colon. The port is NaN if it is not a number; nothing is validated. */
export function splitAddress(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}
