import {type Disposable} from '../base/common/disposable.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {type LogFollower} from './log-follower.js';
import {type RecordAppender} from './record-appender.js';
import {type ServiceOptions} from './service-options.js';

/** Options of a snapshot writer. */
export type SnapshotWriterOptions = ServiceOptions & {
	readonly follower: LogFollower;
	/** Appender of the stream `snapshots`. The writer does not dispose it. */
	readonly appender: RecordAppender;
	/** True while this host holds the snapshot lease. */
	readonly holdsLease: () => boolean;
	/** Number of new records after which a snapshot is due. Must stay well below the retention of the log. Default: 500. */
	readonly recordInterval?: number;
	/** Time after which a snapshot is due if there is any new record. Default: 60,000. */
	readonly timeIntervalMilliseconds?: number;
	/** Interval between checks whether a snapshot is due. Default: 1000. */
	readonly tickIntervalMilliseconds?: number;
};

/** Writes snapshots of the control state while this host holds the snapshot lease. */
export class SnapshotWriter implements Disposable {
	private timer: NodeJS.Timeout | undefined;
	private isWriting = false;
	private lastSnapshotOffset = 0;
	private lastWrittenAt: number;

	constructor(private readonly options: SnapshotWriterOptions) {
		this.lastWrittenAt = options.clock.monotonic();
	}

	/** Starts the periodic checks. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.tick();
		}, this.options.tickIntervalMilliseconds ?? 1000);
	}

	/** Writes a snapshot if one is due. Resolves to true if one was written. */
	async tick(): Promise<boolean> {
		const {follower, holdsLease, clock} = this.options;
		if (this.isWriting || follower.state !== 'following' || !holdsLease()) {
			return false;
		}

		const coveredOffset = Math.max(
			this.lastSnapshotOffset,
			follower.snapshotOffset,
		);
		const newRecords = follower.control.nextOffset - coveredOffset;
		const elapsedMilliseconds = clock.monotonic() - this.lastWrittenAt;
		const isDue =
			newRecords >= (this.options.recordInterval ?? 500) ||
			(newRecords > 0 &&
				elapsedMilliseconds >=
					(this.options.timeIntervalMilliseconds ?? 60_000));
		if (!isDue) {
			return false;
		}

		this.isWriting = true;
		const written = await this.write();
		this.isWriting = false;
		return written;
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	private async write(): Promise<boolean> {
		const {follower, appender, events, metrics, clock} = this.options;
		const snapshot = follower.control.snapshot();
		const result = await appender.append({
			id: appender.createRecordId(),
			body: snapshot,
		});
		if (result.isErr()) {
			events.record(agreementEvents.snapshotFailed, {
				error: result.error.message,
			});
			return false;
		}

		this.lastSnapshotOffset = snapshot.next;
		this.lastWrittenAt = clock.monotonic();
		metrics.count('daisylever_snapshots_written_total');
		events.record(agreementEvents.snapshotWritten, {next: snapshot.next});
		return true;
	}
}
