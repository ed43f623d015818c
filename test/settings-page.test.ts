import {readFileSync} from 'node:fs';
import t from 'tap';
import {makeSettingsPage} from '../tools/settings-page.js';

t.test('docs/SETTINGS.md matches the schemas', async t => {
	t.equal(readFileSync(new URL('../../docs/SETTINGS.md', import.meta.url), 'utf8'), makeSettingsPage(), 'run `npm run docs`');
});
