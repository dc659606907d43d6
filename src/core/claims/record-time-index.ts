import {type LogOffset} from '../../contracts/ids.js';

type TimeMark = {readonly offset: LogOffset; readonly time: number};

/** Sparse index of the append times of the records in a stream, with a resolution given in milliseconds. */
export class RecordTimeIndex {
	private marks: TimeMark[] = [];

	constructor(private readonly resolutionMilliseconds: number) {}

	/** Adds the append time of a record. Records must be added in stream order. */
	add(offset: LogOffset, time: number): void {
		const last = this.marks.at(-1);
		if (!last || time >= last.time + this.resolutionMilliseconds) {
			this.marks.push({offset, time});
		}
	}

	/** Returns an offset such that every record older than `time` lies before it, or `next` if no later record was added. Removes marks that are no longer needed. */
	offsetAt(time: number, next: LogOffset): LogOffset {
		const index = this.marks.findIndex((mark) => mark.time > time);
		this.marks = index === -1 ? this.marks.slice(-1) : this.marks.slice(index);
		return index === -1 ? next : this.marks[0]!.offset;
	}
}
