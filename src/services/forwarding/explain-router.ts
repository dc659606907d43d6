import {type Hono} from 'hono';
import {type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type ExplanationFailure,
	type RouteExplanation,
	type RouteQuestion,
} from './route-explanation.js';

const countSchema = z.coerce.number().int().min(0).max(10_000_000);
const nameSchema = z.string().min(1).max(256);

const querySchema = z.object({
	host: nameSchema,
	path: z.string().startsWith('/').max(4096),
	model: z
		.string()
		.regex(/^[^/]+(\/[^/]+)?$/)
		.max(512)
		.optional(),
	promptTokens: countSchema.default(0),
	maximumTokens: countSchema.default(0),
	lengthHint: countSchema.optional(),
	customer: nameSchema.optional(),
});

const promptPartsSchema = z.array(nameSchema).max(64);

/** Adds `GET /explain`, which tells where a request would go. Unknown routes, models and customers get 404, a host without a document 503. */
export function addExplainRoute(
	app: Hono,
	explain: (
		question: RouteQuestion,
	) => Result<RouteExplanation, ExplanationFailure>,
): void {
	app.get('/explain', (context) => {
		const query = querySchema.safeParse(context.req.query());
		const promptParts = promptPartsSchema.safeParse(
			context.req.queries('prefix') ?? [],
		);
		if (!query.success || !promptParts.success) {
			const error = query.error ?? promptParts.error;
			return context.json(
				{
					code: 'invalid-question',
					detail: error ? z.prettifyError(error) : 'the question is invalid',
				},
				400,
			);
		}

		const {host, model: named, ...question} = query.data;
		const [model, adapter] = named?.split('/') ?? [];
		const explanation = explain({
			...question,
			hostName: host,
			model,
			adapter,
			promptParts: promptParts.data,
		});
		return explanation.match(
			(value) => context.json(value),
			(failure) =>
				context.json(failure, failure.code === 'no-document' ? 503 : 404),
		);
	});
}
