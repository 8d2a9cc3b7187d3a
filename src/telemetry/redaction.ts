/**
 * Fields that may hold a caller's key or the content of a request, wherever they occur. Names are compared in
 * lower case, without hyphens and underscores.
 */
const secretFields = new Set([
	'authorization',
	'apikey',
	'key',
	'bearer',
	'password',
	'secret',
	'cookie',
	'tlskey',
	'prompt',
	'messages',
	'content',
	'body',
	'text',
	'resumetext',
	'events',
	'input',
]);
const bearerPattern = /\bbearer\s+[^\s"',;]+/giv;
const replacement = '[redacted]';
/** Characters that may stand between the letters of a field's name. */
const separators = String.raw`[\-_]*`;
const names = [...secretFields].map(name => [...name].join(separators)).join('|');
/**
 * Matches lines that may need redaction: those in which such a field holds a string, a list or an object. Most lines don't match and
 * are serialized only once. Numbers don't match, since counts with the same field names occur in the log lines of every request.
 */
const candidatePattern = new RegExp(String.raw`"${separators}(?:${names})${separators}":["\[\{]|bearer\s`, 'iv');

/**
 * Serializes a value as JSON without keys and prompts. If a part logs a whole request, or an error that quotes
 * one, the content of that request would otherwise be in a log that operators of another workspace read.
 * Redaction is done here because every log line passes through this function.
 */
export function redactedJson(value: unknown): string {
	const plain = JSON.stringify(value);
	return candidatePattern.test(plain) ? redact(value) : plain;
}

function redact(record: unknown): string {
	return JSON.stringify(record, (field, value: unknown) => {
		if (isSecretField(field) && mayHoldText(value)) {
			return replacement;
		}

		return typeof value === 'string' ? value.replaceAll(bearerPattern, `Bearer ${replacement}`) : value;
	});
}

/** Strings and objects are redacted; numbers, such as counts of events or tokens, are not. */
function mayHoldText(value: unknown): boolean {
	return typeof value === 'string' || (typeof value === 'object' && value !== null);
}

function isSecretField(field: string): boolean {
	return secretFields.has(field.toLowerCase().replaceAll(/[\-_]/gv, ''));
}
