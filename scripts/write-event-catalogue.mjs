// Generates docs/events.md from the compiled event files. Run with `npm run events`.
import {writeFileSync} from 'node:fs';
import {
	loadEventFiles,
	renderCatalogue,
} from '../build/src/program/event-catalogue.js';

const files = await loadEventFiles(
	'src/contracts/events',
	new URL('../build/src/contracts/events/', import.meta.url),
);
writeFileSync('docs/events.md', renderCatalogue(files));
