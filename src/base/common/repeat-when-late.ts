import {type Result} from 'neverthrow';

/**
 * Makes a call, and makes it a second time beside the first one if that has no result in time. Returns the first success,
 * or the failure of the last one in progress.
 */
export async function repeatWhenLate<Value, Failure>(
	call: () => PromiseLike<Result<Value, Failure>>,
	schedule: (action: () => void) => () => void,
): Promise<Result<Value, Failure>> {
	return new Promise((resolve, reject) => {
		let open = 0;
		const start = () => {
			open++;
			call().then((result) => {
				open--;
				if (result.isOk() || open === 0) {
					cancel();
					resolve(result);
				}
			}, reject);
		};

		const cancel = schedule(start);
		start();
	});
}
