import {readFileSync} from 'node:fs';
import tap from 'tap';
import {catalogueJsonSchema, entrySchema} from '../../src/catalogue/index.js';

tap.test('the committed JSON schema of catalogue files is current', async t => {
	t.equal(readFileSync('schema/catalogue.schema.json', 'utf8'), `${JSON.stringify(catalogueJsonSchema(), undefined, '\t')}\n`, 'run npm run schema');
});

tap.test('docs/CATALOGUE.md documents every field of every entry', async t => {
	const page = readFileSync('docs/CATALOGUE.md', 'utf8');
	for (const schema of entrySchema.options) {
		for (const field of Object.keys(schema.shape)) {
			t.match(page, `\`${field}\``);
		}
	}
});
