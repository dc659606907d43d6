/** Names of the platform's HTTP headers, in the letter case in which they are sent. */
export const headerNames = {
	requestId: 'Request-Id',
	deadline: 'Deadline-Ms',
	promptPrefix: 'Prompt-Prefix',
	lastEventId: 'Last-Event-Id',
	/** Id of the request that brought the first event of a stream that the caller takes up again. */
	resumes: 'Resumes',
	signature: 'Response-Sig',
	expectInstance: 'Expect-Instance',
	load: 'Server-Load',
	/** Requests a second that the worker takes from all hosts together. */
	rateLimit: 'Server-Limit',
	/** In all answers of a worker that falls over when it turns away more requests a second than the value. */
	brittle: 'Server-Brittle',
	notRun: 'Not-Run',
	/** In all answers of a worker that leaves, with the value 1. */
	leaving: 'Server-Leaving',
	retryAfter: 'Retry-After',
	instance: 'Instance-Id',
	model: 'Model',
	tokens: 'Token-Count',
	priority: 'Request-Priority',
	versions: 'Weight-Versions',
	expectVersion: 'Expect-Version',
	pin: 'Pin-Ms',
	hold: 'Hold',
	lengthHint: 'Length-Hint',
	backup: 'Kv-Backup',
	resumeFrom: 'Kv-From',
	fetchFrom: 'Kv-Fetch',
	/** Key of the caller. It contains nothing else and never reaches a worker. */
	apiKey: 'Api-Key',
	/** Name of the tenant that holds the key, for the worker. */
	tenant: 'Tenant',
	/** Generation of the store, in all its responses. Rises each time the store was restored from a copy. */
	storeGeneration: 'Store-Era',
} as const;

/** HTTP paths of the store and of workers. */
export const paths = {
	logAppend: '/log-append',
	logRead: '/log-read',
	logNewest: '/log-newest',
	order: '/order',
	report: '/report',
} as const;

/** Topics of the store that this program reads or writes. */
export const topics = {
	operator: 'keyed.op',
	targets: 'keyed.servers',
	/** Written by this program. */
	owner: 'daisylever.owner',
	/** Written by this program. */
	streams: 'daisylever.streams',
} as const;

/** Key of the configuration in the operator's topic. */
export const configurationKey = 'config';
