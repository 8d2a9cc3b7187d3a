import {readFileSync} from 'node:fs';
import tap from 'tap';
import {renderSettingsPage} from '../../tools/settings-page.js';

tap.test('docs/SETTINGS.md matches the definitions', async t => {
	t.equal(readFileSync('docs/SETTINGS.md', 'utf8'), renderSettingsPage());
});
