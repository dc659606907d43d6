import {type Clock} from '../../src/base/common/clock.js';
import {type RequestId, type SoftwareVersion} from '../../src/contracts/ids.js';
import {StreamOrigins} from '../../src/core/streams/stream-origins.js';
import {VersionHistory} from '../../src/core/streams/version-history.js';
import {StreamOriginSharing} from '../../src/services/forwarding/state/stream-origin-sharing.js';

/** Creates the sharing of a host. Without a function for other hosts, none of them knows any stream. */
export function createSharing(
	clock: Clock,
	askOthers: (
		stream: RequestId,
	) => Promise<SoftwareVersion | undefined> = async () => undefined,
): {
	readonly sharing: StreamOriginSharing;
	readonly versions: VersionHistory;
	/** Whether the host sees changes of the target list in time. */
	readonly list: {isCurrent: boolean};
} {
	const list = {isCurrent: true};
	const versions = new VersionHistory({
		clock,
		isListCurrent: () => list.isCurrent,
	});
	const sharing = new StreamOriginSharing({
		origins: new StreamOrigins(clock),
		versions,
		stored: new StreamOrigins(clock),
		readStore: async () => undefined,
		isRecording: () => false,
		askOthers,
	});
	return {sharing, versions, list};
}
