import {type Disposable} from '../base/common/disposable.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {type LogFollower} from './log-follower.js';
import {type RecordAppender} from './record-appender.js';
import {type ServiceOptions} from './service-options.js';

/** Options of the snapshot writer. */
export type SnapshotWriterOptions = ServiceOptions & {
	readonly follower: LogFollower;
	/** Appender of the stream `snapshots`. The writer does not dispose it. */
	readonly appender: RecordAppender;
	/** True while this host holds the snapshot lease. */
	readonly holdsLease: () => boolean;
	/** Records after which a snapshot is due. Must stay well below the retention of the log. */
	readonly recordInterval?: number;
	/** Time after which a snapshot is due when there is any new record. */
	readonly timeIntervalMilliseconds?: number;
	readonly tickIntervalMilliseconds?: number;
};

/** Writes snapshots of the control state while this host holds the snapshot lease. */
export class SnapshotWriter implements Disposable {
	private timer: NodeJS.Timeout | undefined;
	private writing = false;
	private lastOffset = 0;
	private lastWrittenAt: number;

	constructor(private readonly options: SnapshotWriterOptions) {
		this.lastWrittenAt = options.clock.monotonic();
	}

	/** Starts to tick. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.tick();
		}, this.options.tickIntervalMilliseconds ?? 1000);
	}

	/** Writes a snapshot when one is due. Resolves to true when one was written. */
	async tick(): Promise<boolean> {
		const {follower, holdsLease, clock} = this.options;
		if (this.writing || follower.state !== 'following' || !holdsLease()) {
			return false;
		}

		const covered = Math.max(this.lastOffset, follower.snapshotOffset);
		const newRecords = follower.control.nextOffset - covered;
		const waited = clock.monotonic() - this.lastWrittenAt;
		const isDue =
			newRecords >= (this.options.recordInterval ?? 500) ||
			(newRecords > 0 &&
				waited >= (this.options.timeIntervalMilliseconds ?? 60_000));
		if (!isDue) {
			return false;
		}

		this.writing = true;
		const written = await this.write();
		this.writing = false;
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

		this.lastOffset = snapshot.next;
		this.lastWrittenAt = clock.monotonic();
		metrics.count('daisylever_snapshots_written_total');
		events.record(agreementEvents.snapshotWritten, {next: snapshot.next});
		return true;
	}
}
