/** The fingerprint of a part of prompts, which several requests may share; unlike any of a request. */
const partPrefix = 'part ';

export function fingerprintOfPart(part: string): string {
	return `${partPrefix}${part}`;
}

/** Whether a fingerprint is that of a part, and not of a whole request. */
export function isPart(fingerprint: string): boolean {
	return fingerprint.startsWith(partPrefix);
}
