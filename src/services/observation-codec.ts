import {Buffer} from 'node:buffer';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {hash32} from '../base/common/digest.js';
import {targetReportSchema, type TargetReport} from '../contracts/engine.js';
import {type FencingToken, type TargetId} from '../contracts/ids.js';
import {
	type TargetObservation,
	type TargetObservationSchema,
} from '../generated/daisylever/peer/v1/peer_pb.js';

// A change is sent in full for this long, so that each peer gets it in one of two heartbeats.
const changeMilliseconds = 2500;
// Peers that are asked for a report answer with their next heartbeat or the one after it.
const unresolvedMilliseconds = 3000;

/** Writes reports for heartbeats: in full after a change, otherwise only the load. */
export class ObservationEncoder {
	private readonly changes = new Map<TargetId, {digest: number; at: number}>();

	/** `isFullWanted` when the receiver asked for complete reports. */
	encode(
		report: TargetReport,
		options: {
			readonly ageMilliseconds: number;
			readonly now: number;
			readonly isFullWanted: boolean;
		},
	): MessageInitShape<typeof TargetObservationSchema> {
		const {ageMilliseconds, now, isFullWanted} = options;
		const digest = digestOf(report);
		let change = this.changes.get(report.target);
		if (change?.digest !== digest) {
			change = {digest, at: now};
			this.changes.set(report.target, change);
		}

		const {target} = report;
		if (isFullWanted || now - change.at < changeMilliseconds) {
			return {
				target,
				ageMilliseconds,
				// Only the owner of a group needs the orders that a report lists.
				report: Buffer.from(JSON.stringify({...report, appliedOrders: []})),
			};
		}

		return {
			target,
			ageMilliseconds,
			load: {
				sequence: BigInt(report.sequence),
				leaving: report.leaving,
				highestToken: BigInt(report.highestToken),
				running: report.running,
				queued: report.queued,
				digest,
			},
		};
	}
}

/** Reads what an encoder wrote, with the reports known here. */
export class ObservationDecoder {
	private readonly unresolved = new Map<TargetId, number>();

	/** True when a load could not be read for want of its report. */
	wantsReports(now: number): boolean {
		for (const [target, at] of this.unresolved) {
			if (now - at > unresolvedMilliseconds) {
				this.unresolved.delete(target);
			}
		}

		return this.unresolved.size > 0;
	}

	/** Returns the report, or undefined when it is malformed or the known report is another one. */
	decode(
		{target, report, load}: TargetObservation,
		known: TargetReport | undefined,
		now: number,
	): TargetReport | undefined {
		const id = target as TargetId;
		if (!load) {
			this.unresolved.delete(id);
			return parse(report);
		}

		if (!known || digestOf(known) !== load.digest) {
			this.unresolved.set(id, now);
			return undefined;
		}

		this.unresolved.delete(id);
		return {
			...known,
			sequence: Number(load.sequence),
			leaving: load.leaving,
			highestToken: Number(load.highestToken) as FencingToken,
			running: load.running,
			queued: load.queued,
		};
	}
}

// Reports that differ only in their load share the list of artifacts, and so its digest.
const artifactDigests = new WeakMap<TargetReport['artifacts'], number>();

function digestOf(report: TargetReport): number {
	const {artifacts, incarnation, role, memoryBytes, slots} = report;
	let artifactDigest = artifactDigests.get(artifacts);
	if (artifactDigest === undefined) {
		artifactDigest = hash32(JSON.stringify(artifacts));
		artifactDigests.set(artifacts, artifactDigest);
	}

	return hash32(
		[incarnation, role, memoryBytes, slots, artifactDigest].join('\n'),
	);
}

function parse(report: Uint8Array): TargetReport | undefined {
	try {
		const parsed = targetReportSchema.safeParse(
			JSON.parse(Buffer.from(report).toString('utf8')),
		);
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
