import {Agent, request as httpRequest} from 'node:http';

/** Sends a request on a new channel and returns the status and body, or the error of the channel. The consumer leaves when its time limit has passed. */
export async function send(address, options) {
	const {method = 'GET', path, headers = {}, body, limitMilliseconds} = options;
	const agent = new Agent({keepAlive: false});
	return new Promise((resolve) => {
		const chunks = [];
		const end = (outcome) => {
			clearTimeout(timer);
			agent.destroy();
			resolve({body: Buffer.concat(chunks).toString(), ...outcome});
		};

		const call = httpRequest(
			{...address, agent, method, path, headers},
			(response) => {
				response.on('data', (chunk) => {
					chunks.push(chunk);
					options.onData?.(chunk, call);
				});
				response.on('error', (error) => {
					end({status: response.statusCode, error: error.message});
				});
				response.on('end', () => {
					end({
						status: response.statusCode,
						headers: response.headers,
						isComplete: response.complete,
					});
				});
			},
		);
		call.on('error', (error) => {
			end({error: error.message});
		});
		const timer =
			limitMilliseconds &&
			setTimeout(() => {
				call.destroy();
			}, limitMilliseconds);
		call.end(body);
	});
}
