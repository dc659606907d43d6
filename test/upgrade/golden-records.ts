import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';

const goldenFolder = 'test/upgrade/golden';

/** Builds whose golden records are kept, each by the first characters of its commit. */
export function goldenBuilds(): string[] {
	return readdirSync(goldenFolder).sort();
}

/** Reads golden records of a build. `scripts/write-golden-records.mjs` writes them with that build's own code. */
export function readGolden<Content>(build: string, name: string): Content {
	return JSON.parse(
		readFileSync(path.join(goldenFolder, build, `${name}.json`), 'utf8'),
	) as Content;
}
