import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about forwarded requests, the shared store and the owner of placement. Numbers 7000 to 7999. */
export const forwardingEvents = {
	hostStarted: {
		number: 7000,
		name: 'forwarding-started',
		level: 'info',
		description:
			'The process started listening. It is ready once it has read a document and the list of targets.',
	},
	hostReady: {
		number: 7001,
		name: 'forwarding-ready',
		level: 'info',
		description:
			'The process is ready: it has read a document and the list of targets.',
	},
	hostStopping: {
		number: 7002,
		name: 'forwarding-stopping',
		level: 'info',
		description:
			'The process received a signal to stop. It reports that it is not ready, but serves the requests that still arrive until it ends.',
	},
	hostStopped: {
		number: 7003,
		name: 'forwarding-stopped',
		level: 'info',
		description:
			'The process completed its planned stop. The fields signalledAt and noticedAfterMilliseconds tell when the signal was noticed and by how much at most it was late; begunRequests and refusedRequests count what arrived or waited during the stop, cutRequests and unsentResponses what its end interrupts. ownFailures counts the responses of this host (502, 504) to requests that a target may have run, since the process started; they count as whole. The other counts are of all requests that the process has read completely: readRequests is the sum of wholeResponses, interruptedResponses (ended early by this host), abandonedResponses (closed by the caller) and unfinishedRequests.',
	},
	settingsReloaded: {
		number: 7004,
		name: 'settings-reloaded',
		level: 'info',
		description: 'The settings file was read again and has no errors.',
	},
	settingsRejected: {
		number: 7005,
		name: 'settings-rejected',
		level: 'error',
		description:
			'The settings file was read again and has errors. The previous settings stay in force.',
	},
	documentApplied: {
		number: 7010,
		name: 'document-applied',
		level: 'info',
		description: 'A newer version of the document is in force.',
	},
	documentUnreadable: {
		number: 7011,
		name: 'document-unreadable',
		level: 'error',
		description:
			'A version of the document cannot be read. The previous version stays in force.',
	},
	targetListed: {
		number: 7012,
		name: 'target-listed',
		level: 'info',
		description:
			'A target was added to the list of targets, restarted, or changed its state.',
	},
	targetUnlisted: {
		number: 7013,
		name: 'target-unlisted',
		level: 'info',
		description: 'A target is no longer listed and receives no new requests.',
	},
	targetEntryMalformed: {
		number: 7014,
		name: 'target-entry-malformed',
		level: 'warn',
		description:
			'An entry of the list of targets cannot be read. Its target receives no requests until it can. Logged once a minute for each target and 60 times a minute for all; the field omittedLines counts the lines left out before this one.',
	},
	targetDied: {
		number: 7015,
		name: 'target-died',
		level: 'warn',
		description:
			'A target ended while requests of this host were in flight there. The field evidence says how this host found out, requests the ids of the requests, and promptParts the parts of their prompts with the number of requests that had each.',
	},
	fingerprintQuarantined: {
		number: 7016,
		name: 'fingerprint-quarantined-fleet',
		level: 'warn',
		description:
			'Targets died under a request or under a part of prompts (field fingerprint). All hosts refuse requests with it. The field deaths names the targets, source says whether this host or another one found the last death.',
	},
	suspicionCleared: {
		number: 7017,
		name: 'suspicion-cleared',
		level: 'info',
		description:
			'A target answered a request (field request) with a suspect or quarantined part of its prompt completely, so requests with the part are sent again.',
	},
	quarantineTried: {
		number: 7018,
		name: 'quarantine-tried',
		level: 'info',
		description:
			'One request with a quarantined fingerprint is sent, to find out whether it still crashes targets. Only the owner does this, less often each time.',
	},
	targetBrittle: {
		number: 7062,
		name: 'target-brittle',
		level: 'warn',
		description:
			'A target says in its answers that it falls over when it turns away more requests a second than the given number. Hosts send it only what it has room for.',
	},
	targetNoLongerBrittle: {
		number: 7063,
		name: 'target-no-longer-brittle',
		level: 'info',
		description: 'The answers of a target no longer say that it is brittle.',
	},
	brittleTargetLimited: {
		number: 7064,
		name: 'brittle-target-limited',
		level: 'info',
		description:
			'For the first time since the target has become brittle, a request does not go to it because the target may have no room. Requests wait, go to other targets or are refused early.',
	},
	targetRateLimited: {
		number: 7019,
		name: 'target-rate-limited',
		level: 'info',
		description:
			'A target named another number of requests a second that it takes from all hosts together (field requestsPerSecond), or names none any more.',
	},
	storeLost: {
		number: 7020,
		name: 'store-lost',
		level: 'warn',
		description:
			'A read of the shared store failed. The host keeps serving with the state that it has read before.',
	},
	storeRegained: {
		number: 7021,
		name: 'store-regained',
		level: 'info',
		description: 'The shared store responds again.',
	},
	historyLost: {
		number: 7022,
		name: 'store-history-lost',
		level: 'info',
		description:
			'The shared store has deleted records that this host had not read. The host reads the complete newest state.',
	},
	stateReceived: {
		number: 7023,
		name: 'state-received',
		level: 'info',
		description:
			'This host receives the state in the field state from the owner or a relay and no longer reads the shared store for it.',
	},
	stateReadDirectly: {
		number: 7024,
		name: 'state-read-directly',
		level: 'info',
		description:
			'This host reads a state from the shared store itself, because no other host sends it or what they send is too old (field ageMilliseconds).',
	},
	storeGenerationChanged: {
		number: 7025,
		name: 'store-generation-changed',
		level: 'warn',
		description:
			'The shared store names a generation for the first time or a higher one (field generation). A higher one means that it was restored from a copy: records that it had confirmed may be lost, and their positions are used again.',
	},
	targetEntryOutdated: {
		number: 7026,
		name: 'target-entry-outdated',
		level: 'info',
		description:
			'An entry of the list of targets is older than one that this host has seen before (fields writes and knownWrites), as in a store that was restored from a copy. It is ignored until the target writes its entry again.',
	},
	targetHeldBack: {
		number: 7027,
		name: 'target-held-back',
		level: 'info',
		description:
			'A target turned this host away and named the time for which it wants nothing (field milliseconds). Requests go to other targets until then, wait or are refused.',
	},
	targetUsedAgain: {
		number: 7028,
		name: 'target-used-again',
		level: 'info',
		description:
			'The time for which a target wanted nothing from this host is over.',
	},
	targetHeaderInvalid: {
		number: 7029,
		name: 'target-header-invalid',
		level: 'warn',
		description:
			'A target turned this host away with a time that cannot be read (field value). The header is ignored. Logged once a minute for each target.',
	},
	stateReadFailed: {
		number: 7065,
		name: 'state-read-failed',
		level: 'error',
		description:
			'What was read of the state in the field state could not be applied (field reason). The host reads the complete newest state again.',
	},
	reportFailed: {
		number: 7066,
		name: 'report-failed',
		level: 'error',
		description:
			'The report to the owner or a relay could not be made, or its response could not be applied (field reason). The host reports again. Logged once a minute.',
	},
	ownershipGained: {
		number: 7030,
		name: 'ownership-gained',
		level: 'info',
		description:
			'This host acquired the owner lease and sends orders to targets.',
	},
	ownershipLost: {
		number: 7031,
		name: 'ownership-lost',
		level: 'info',
		description: 'This host no longer holds the owner lease.',
	},
	ownerChanged: {
		number: 7032,
		name: 'owner-changed',
		level: 'info',
		description: 'Another host acquired the owner lease.',
	},
	ownerUnreachable: {
		number: 7033,
		name: 'owner-unreachable',
		level: 'warn',
		description:
			'The holder of the owner lease does not respond. This host reads the log of the lease and claims the lease if its holder does not renew it there either.',
	},
	relayAssigned: {
		number: 7034,
		name: 'relay-assigned',
		level: 'info',
		description:
			'The owner assigned a relay to this host, or none: from now on the host reports to the address in the field relay, or to the owner when it is empty.',
	},
	relayLost: {
		number: 7035,
		name: 'relay-lost',
		level: 'warn',
		description:
			'The relay of this host does not respond or no longer serves it. The host reports to the owner, which assigns another one, and reads the shared store itself if that takes long.',
	},
	orderGiven: {
		number: 7040,
		name: 'order-given',
		level: 'info',
		description:
			'An order to load or unload was sent to a target. The field outcome is the response of the target.',
	},
	orderUnanswered: {
		number: 7041,
		name: 'sequenced-order-unanswered',
		level: 'warn',
		description:
			'A target did not respond to an order. The memory of the order stays reserved until the order can no longer take effect.',
	},
	modelsPlanned: {
		number: 7042,
		name: 'models-planned',
		level: 'info',
		description:
			'The plan of the models to be resident on the targets changed.',
	},
	artifactUnserved: {
		number: 7043,
		name: 'artifact-unserved',
		level: 'warn',
		description:
			'Requests ask for a model or adapter that no target has offered for the given time. The field obstacle says what holds its load back, planned names the targets on which a model is planned. Logged by the owner after 1 s and each time the wait has doubled.',
	},
	artifactServed: {
		number: 7044,
		name: 'artifact-served',
		level: 'info',
		description:
			'A target offers a model or adapter for which requests have waited (event 7043).',
	},
	attemptSent: {
		number: 7050,
		name: 'attempt-sent',
		level: 'info',
		description: 'A request was sent to a target.',
	},
	attemptEnded: {
		number: 7051,
		name: 'attempt-ended',
		level: 'info',
		description: 'An attempt ended without a complete response.',
	},
	requestAnswered: {
		number: 7052,
		name: 'request-answered',
		level: 'info',
		description:
			'The response to a request is complete, or the connection of its caller ended. The field missing is model or adapter when this host refused the request while no target offered that, and absent when a target did, but had no room.',
	},
	requestRejected: {
		number: 7053,
		name: 'request-rejected',
		level: 'info',
		description:
			'A request was rejected without being queued, for example because no route matches.',
	},
	requestQuarantined: {
		number: 7054,
		name: 'request-quarantined',
		level: 'info',
		description:
			'A request was refused because of a quarantined fingerprint: its own or that of a part of its prompt. Look for the fingerprint in the events 7016.',
	},
	attemptStalled: {
		number: 7055,
		name: 'attempt-stalled',
		level: 'info',
		description:
			'An attempt makes no progress. It stays open while another target is sought, and is cancelled when that one responds first.',
	},
	requestSentToPeer: {
		number: 7056,
		name: 'request-sent-to-peer',
		level: 'info',
		description:
			'A request was forwarded to another host (field peer), because this one reaches no target of its pool.',
	},
	peerFailed: {
		number: 7057,
		name: 'peer-failed',
		level: 'info',
		description:
			'A host to which a request was forwarded has not answered it. Field outcome: not-run (it refused the request or could not be reached), failed (it states that the request may have run) or lost (it made no statement).',
	},
	requestTakenFromPeer: {
		number: 7058,
		name: 'request-taken-from-peer',
		level: 'info',
		description:
			'Another host (field peer), which reaches no target of the pool, forwarded a request to this one.',
	},
	eventLoopStalled: {
		number: 7061,
		name: 'event-loop-stalled',
		level: 'info',
		description:
			'The event loop of the process was blocked for the given time, and streams paused. Look for slow machines and long garbage collections.',
	},
	poolUnreachable: {
		number: 7070,
		name: 'pool-unreachable',
		level: 'warn',
		description:
			'This host reaches no target of the pool. The fields failingTargets and failures count the targets and the failures by kind since the last contact, sinceContactMilliseconds and firstFailureAgeMilliseconds are the ages of that contact and of the first failure. If other hosts log the same, look at the targets, otherwise at the network of this host.',
	},
	poolReachedAgain: {
		number: 7071,
		name: 'pool-reached-again',
		level: 'info',
		description:
			'A target of the pool answers this host again, or the pool has no targets any more. The field milliseconds is the time for which the pool was unreachable.',
	},
	ownershipGivenUp: {
		number: 7072,
		name: 'ownership-given-up',
		level: 'warn',
		description:
			'This host releases the owner lease because it reaches no target of the pools with an engine. It claims the lease again once it reaches one, or when no other host does.',
	},
	streamsNotStored: {
		number: 7073,
		name: 'streams-not-stored',
		level: 'warn',
		description:
			'The software versions at which streams began could not be written to the store, or read from it (field call). Streams whose hosts have ended are refused until a later call succeeds. Logged once a minute for each call.',
	},
	listenerUnavailable: {
		number: 7074,
		name: 'listener-unavailable',
		level: 'warn',
		description:
			'A listener could not be opened, because its address (field address) is in use or not there yet (field code). It is tried again for 75 s; the host is not ready until it listens. Logged for the attempts 1, 2, 4, 8 and so on.',
	},
	listenerOpened: {
		number: 7075,
		name: 'listener-opened',
		level: 'info',
		description:
			'A listener that could not be opened at first is open. The field milliseconds is the delay.',
	},
	signalReceived: {
		number: 7076,
		name: 'signal-received',
		level: 'info',
		description:
			'The process received a signal. The field action says what follows: stop, end at once, read the settings again, or nothing.',
	},
	unexpectedError: {
		number: 7077,
		name: 'unexpected-error',
		level: 'error',
		description:
			'An error that no part of the program handles (field origin: uncaughtException or unhandledRejection). The process serves on; the request or entry that caused the error may have got no answer. Report the fields as a fault of the program.',
	},
	processEnding: {
		number: 7078,
		name: 'process-ending',
		level: 'info',
		description:
			'The process ends with the given exit code for the given reason.',
	},
	requestCutByStop: {
		number: 7080,
		name: 'request-cut-by-stop',
		level: 'warn',
		description:
			'A request was still open at the end of the planned stop and is ended without its whole answer. The field isTargetAtWork is true while an attempt at a target is open, sinceEventMilliseconds is the time since its last event, unsentBytes is what its caller has not taken yet. At most 32 are listed, event 7003 has their number.',
	},
	responseCutByStop: {
		number: 7081,
		name: 'response-cut-by-stop',
		level: 'warn',
		description:
			'An answer is complete, but its caller had not taken all of it at the end of the planned stop. The field unsentBytes is what is lost. At most 32 are listed, event 7003 has their number.',
	},
	answerInterrupted: {
		number: 7082,
		name: 'answer-interrupted',
		level: 'warn',
		description:
			'An answer that had begun was ended without its rest. The field reason says why, targets lists those with an open attempt, brokenTargets those at which the stream broke off, isStopping is true during a planned stop. At most 32 in ten seconds are logged.',
	},
	connectionsEnded: {
		number: 7083,
		name: 'connections-ended',
		level: 'info',
		description:
			'The process ends. The fields count the connections of callers that carried an answer since the process started: closedByCaller after the last answer had left this process, so it was read; reset; unconfirmed, which this host closed without the end of the caller, and open, which it has not closed. The last answer of an unconfirmed or open one may not have arrived. At most 32 of these are listed during a stop (7084).',
	},
	deliveryUnconfirmed: {
		number: 7084,
		name: 'delivery-unconfirmed',
		level: 'warn',
		description:
			'The connection of a caller ended during the planned stop without its end, so the last answer on it may not have arrived. The field milliseconds is the time since that answer left this process.',
	},
	answersExceedMemory: {
		number: 7090,
		name: 'answers-exceed-memory',
		level: 'warn',
		description:
			'An answer was given up because the bodies of all answers that this host holds exceed their share of machine.memoryMegabytes. Its request counts as lost at its target. The field heldBytes is the sum, omittedLines the number of such answers since the last line. Look for callers that do not read and for large answers without events.',
	},
	requestsExceedMemory: {
		number: 7091,
		name: 'requests-exceed-memory',
		level: 'warn',
		description:
			'A request with a large body was refused as not run, because the bodies of all requests that this host holds exceed their share of machine.memoryMegabytes. The field heldBytes is the sum, omittedLines the number of such requests since the last line. Look for callers that send bodies slowly or wait long for their answers.',
	},
	fleetQueueOutdated: {
		number: 7092,
		name: 'fleet-queue-outdated',
		level: 'warn',
		description:
			'What this host knows of the queues of the other hosts is older than it may rely on, and decides by its own queue which requests it refuses. The field ageMilliseconds is the age of what it knows. Look for an owner or relay that does not respond.',
	},
	quotaExceeded: {
		number: 7100,
		name: 'quota-exceeded',
		level: 'warn',
		description:
			'A request was refused as not run (429) because its customer exceeds its quota. With the reason quota, the owner admits only admittedShare of what arrives; usedShare is the use of all hosts as a share of the quota, ageMilliseconds the time since the owner computed both. With quota-without-word, this host has heard nothing of the owner for that time, or nothing yet if the field is absent, and keeps to its part: look for events 7033 and 7035. One line for each customer and reason in ten seconds; omittedLines counts the others.',
	},
	clientClosed: {
		number: 7093,
		name: 'client-closed',
		level: 'warn',
		description:
			'The connection of a client was closed for a limit of `clients` in the settings. The field reason names it: connections (there are as many as allowed), memory (what is held for all clients exceeds heldMegabytes), slow-body (no byte of a body arrived for the idle time of the document, or it took longer than bodySeconds or came slower than bytesPerSecond; callers get 408), stalled-body (a body made no progress for stalledSeconds while others needed the memory; callers get 408), fragmented-body (more than fragmentedBodies bodies in small chunks waited to be parsed; callers get 503) or unread (nothing of a response was read for unreadSeconds, or for 3 s while others need the memory). The field listener is callers or peers, connections the number of open ones, heldBytes the sum, omittedLines the number of lines that were left out. Look for clients that do not behave; raise the limit if they do.',
	},
	hostLoadLimited: {
		number: 7120,
		name: 'host-load-limited',
		level: 'warn',
		description:
			'The event loop is late by half of the shortest objective or more while the process uses nearly all of machine.processorShare. From now on the host begins to handle at most requestsPerSecond requests, which adapts, and refuses others as not run. The field usedShare is the processor time as a share of machine.processorShare. Give the machine more processor time, or send it fewer requests.',
	},
	hostLoadReleased: {
		number: 7121,
		name: 'host-load-released',
		level: 'info',
		description:
			'The processor suffices again, and the host handles all requests. The field refusedRequests counts those refused for the load of the host since the process started.',
	},
	readinessWithdrawn: {
		number: 7122,
		name: 'readiness-withdrawn',
		level: 'warn',
		description:
			'The host says that it is not ready although it serves, for 2.5 to 5 s, because its event loop is late by a whole objective in spite of the limit. At most a quarter of the hosts of a failure domain do so at once, each for at most a tenth of its time.',
	},
	readinessRestored: {
		number: 7123,
		name: 'readiness-restored',
		level: 'info',
		description: 'The host says that it is ready again.',
	},
	logLinesDropped: {
		number: 7060,
		name: 'log-lines-dropped',
		level: 'warn',
		description:
			'Log lines were dropped because they exceeded the rate limit or were written faster than their reader accepts them.',
	},
} as const satisfies Record<string, LogEventDefinition>;
