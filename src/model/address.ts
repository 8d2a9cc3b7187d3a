/** Splits `HOST:PORT` at its last colon. The port is NaN if it is not a number; nothing is validated. */
export function splitAddress(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}

const largestOctet = 255;
const largestPort = 65_535;

/** Whether a text from outside names an IPv4 address and a port that can be connected to. Node throws at others. */
export function isAddress(text: string): boolean {
	const parts = /^(?<octets>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v.exec(text)?.groups;
	if (parts === undefined) {
		return false;
	}

	const port = Number(parts.port);
	return parts.octets!.split('.').every(octet => Number(octet) <= largestOctet) && port > 0 && port <= largestPort;
}
