/**
 * Fields that hold a caller's key or artwork wherever they occur. Names are compared in lower case
 * without hyphens and underscores.
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
/**
 * A line without such a field that holds text or a list has nothing to redact; most lines are such, and are written only once. Counts
 * bear the same names, and stand in a line of each request.
 */
const separators = String.raw`[\-_]*`;
const names = [...secretFields].map(name => [...name].join(separators)).join('|');
const suspicion = new RegExp(String.raw`"${separators}(?:${names})${separators}":["\[\{]|bearer\s`, 'iv');

/**
 * Writes a value as JSON without keys and prompts. Failure: a part logs a whole request or an error
 * that quotes one. Symptom: one partner's artwork stands in a log that another's operators read.
 * The rule is kept here, on the way out, because every line passes this place.
 */
export function redactedJson(value: unknown): string {
	const plain = JSON.stringify(value);
	return suspicion.test(plain) ? redact(value) : plain;
}

function redact(value: unknown): string {
	return JSON.stringify(value, (field, held: unknown) => {
		if (isSecretField(field) && holdsText(held)) {
			return replacement;
		}

		return typeof held === 'string' ? held.replaceAll(bearerPattern, `Bearer ${replacement}`) : held;
	});
}

/** Counts of events or tokens may be shown. */
function holdsText(value: unknown): boolean {
	return typeof value === 'string' || (typeof value === 'object' && value !== null);
}

function isSecretField(field: string): boolean {
	return secretFields.has(field.toLowerCase().replaceAll(/[\-_]/gv, ''));
}
