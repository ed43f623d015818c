/** `npm run docs`: writes docs/SETTINGS.md. */
import {writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {makeSettingsPage} from './settings-page.js';

writeFileSync(fileURLToPath(new URL('../../docs/SETTINGS.md', import.meta.url)), makeSettingsPage());
