import {type EventLogger} from '../base/common/event-logger.js';
import {type ListenOptions} from '../base/node/listen.js';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';

/** Creates options that record failed attempts to open a listener, and listeners that open after such an attempt. */
export function createListenOptions(events: EventLogger): ListenOptions {
	return {
		onUnavailable(retry) {
			// The attempts 1, 2, 4, 8 and so on, which are enough to follow the wait.
			if (Number.isInteger(Math.log2(retry.attempt))) {
				events.record(forwardingEvents.listenerUnavailable, retry);
			}
		},
		onOpenedLate(opened) {
			events.record(forwardingEvents.listenerOpened, opened);
		},
	};
}
