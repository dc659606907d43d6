import {execFileSync} from 'node:child_process';
import {
	existsSync,
	mkdirSync,
	mkdtempSync,
	readFileSync,
	renameSync,
	rmSync,
	symlinkSync,
} from 'node:fs';
import path from 'node:path';
import {fileOfCommit} from './production.js';

const lockfile = 'package-lock.json';
const program = 'daisylever.cjs';

/**
 * Builds the program of a commit from the repository's history, and returns its file. It is built once for a folder
 * `build`. The packages are those of its own lockfile: the installed ones when the lockfile is the same.
 */
export function buildProgramOf(commit: string): string {
	const folder = path.resolve('build/commits', commit);
	const file = path.join(folder, program);
	if (existsSync(file)) {
		return file;
	}

	mkdirSync(path.dirname(folder), {recursive: true});
	const unfinished = mkdtempSync(`${folder}-`);
	const archive = path.join(unfinished, 'archive.tar');
	execFileSync('git', ['archive', '--output', archive, commit]);
	execFileSync('tar', ['-xf', archive, '-C', unfinished]);
	rmSync(archive);
	if (fileOfCommit(commit, lockfile) === readFileSync(lockfile, 'utf8')) {
		symlinkSync(
			path.resolve('node_modules'),
			path.join(unfinished, 'node_modules'),
		);
	} else {
		execFileSync('npm', ['ci', '--prefer-offline'], {
			cwd: unfinished,
			stdio: 'pipe',
		});
	}

	bundle(unfinished);
	try {
		renameSync(unfinished, folder);
	} catch (error) {
		// Another test file may have built it meanwhile.
		rmSync(unfinished, {recursive: true, force: true});
		if (!existsSync(file)) {
			throw error;
		}
	}

	return file;
}

/** Bundles the program as the commit's own script for the binary does, or as it did before there was a script of its own. */
function bundle(folder: string): void {
	if (existsSync(path.join(folder, 'scripts/build-bundle.sh'))) {
		execFileSync('bash', ['scripts/build-bundle.sh', program], {
			cwd: folder,
			stdio: 'pipe',
		});
		return;
	}

	execFileSync(
		path.join(folder, 'node_modules/.bin/esbuild'),
		[
			'src/program/main.ts',
			'--bundle',
			'--platform=node',
			'--target=node20',
			'--format=cjs',
			'--minify-whitespace',
			'--minify-syntax',
			`--outfile=${program}`,
			'--log-level=warning',
		],
		{cwd: folder, stdio: 'pipe'},
	);
}
