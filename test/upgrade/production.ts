import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

/** File that names the commit in production. */
const productionFile = 'PRODUCTION';

/** Returns the commit in production. Throws when the clone does not contain it, because no check of two builds is possible then. */
export function productionCommit(file = productionFile): string {
	const commit = readFileSync(file, 'utf8').trim();
	if (!/^[\da-f]{40}$/.test(commit)) {
		throw new Error(
			`The file ${file} must contain the full id of a commit, not ${JSON.stringify(commit)}.`,
		);
	}

	try {
		execFileSync('git', ['cat-file', '-e', `${commit}^{commit}`], {
			stdio: 'pipe',
		});
	} catch (error) {
		throw new Error(
			`The production commit ${commit}, which the file ${file} names, is missing in this clone. Fetch it: git fetch --unshallow, or git fetch origin ${commit}.`,
			{cause: error},
		);
	}

	return commit;
}

/** Returns a file of a commit as it is in the repository's history. */
export function fileOfCommit(commit: string, file: string): string {
	return execFileSync('git', ['show', `${commit}:${file}`], {
		encoding: 'utf8',
		maxBuffer: 64 * 1024 * 1024,
	});
}
