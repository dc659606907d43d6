/** Names of the platform's headers, in the case in which they are sent. */
export const headerNames = {
	requestId: 'Request-Id',
	deadline: 'Deadline-Ms',
	promptPrefix: 'Prompt-Prefix',
	lastEventId: 'Last-Event-Id',
	signature: 'Response-Sig',
	expectInstance: 'Expect-Instance',
	load: 'Server-Load',
	notRun: 'Not-Run',
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
} as const;

/** Paths of the store and of workers. */
export const paths = {
	logAppend: '/log-append',
	logRead: '/log-read',
	logNewest: '/log-newest',
	order: '/order',
	report: '/report',
} as const;

/** Topics of the store. */
export const topics = {
	operator: 'keyed.op',
	targets: 'keyed.servers',
	/** Written by this system. */
	owner: 'daisylever.owner',
} as const;

/** Key of the newest configuration in the operator's topic. */
export const configurationKey = 'config';
