import {type RequestProblem} from '../../contracts/request-problem.js';

/** Builds the problem details of a problem. Chat-completions clients read the message from the member `error`. */
export function problemBody(
	problem: RequestProblem,
	requestId: string,
): Record<string, unknown> {
	return {
		type: `urn:daisylever:problem:${problem.code}`,
		title: problem.code,
		status: problem.status,
		detail: problem.message,
		code: problem.code,
		execution: problem.execution,
		requestId,
		error: {
			message: problem.message,
			type: problem.code,
			code: problem.code,
		},
	};
}

/** Builds the response for a problem, with a `Retry-After` header in whole seconds if the problem suggests a retry. */
export function problemResponse(
	problem: RequestProblem,
	requestId: string,
): Response {
	const headers: Record<string, string> = {
		'content-type': 'application/problem+json',
		'x-request-id': requestId,
	};
	if (problem.retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(
			Math.max(1, Math.ceil(problem.retryAfterSeconds)),
		);
	}

	if (problem.code === 'unauthenticated') {
		headers['www-authenticate'] = 'Bearer';
	}

	return Response.json(problemBody(problem, requestId), {
		status: problem.status,
		headers,
	});
}
