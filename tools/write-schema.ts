import {writeFileSync} from 'node:fs';
import {catalogueJsonSchema} from '../src/catalogue/index.js';

/** Writes the JSON schema of catalogue files, which is committed. */
writeFileSync('schema/catalogue.schema.json', `${JSON.stringify(catalogueJsonSchema(), undefined, '\t')}\n`);
