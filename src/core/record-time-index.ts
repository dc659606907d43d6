import {type LogOffset} from '../contracts/ids.js';

type TimeMark = {readonly offset: LogOffset; readonly time: number};

/** Remembers roughly when the records of a stream were appended. */
export class RecordTimeIndex {
	private marks: TimeMark[] = [];

	constructor(private readonly resolutionMilliseconds: number) {}

	/** Notes the time of a record. Call it in the order of the stream. */
	add(offset: LogOffset, time: number): void {
		const last = this.marks.at(-1);
		if (!last || time >= last.time + this.resolutionMilliseconds) {
			this.marks.push({offset, time});
		}
	}

	/** Returns an offset such that every record older than a time lies before it. Forgets older marks. */
	offsetAt(time: number, next: LogOffset): LogOffset {
		const index = this.marks.findIndex((mark) => mark.time > time);
		this.marks = index === -1 ? this.marks.slice(-1) : this.marks.slice(index);
		return index === -1 ? next : this.marks[0]!.offset;
	}
}
