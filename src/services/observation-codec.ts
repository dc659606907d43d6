import {Buffer} from 'node:buffer';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {hash32} from '../base/common/digest.js';
import {targetReportSchema, type TargetReport} from '../contracts/engine.js';
import {type FencingToken, type TargetId} from '../contracts/ids.js';
import {
	type TargetObservation,
	type TargetObservationSchema,
} from '../generated/daisylever/peer/v1/peer_pb.js';

// A changed report is sent in full for this long, so that each peer receives it in at least one of two heartbeats.
const fullReportMilliseconds = 2500;
// Peers send a requested report with their next heartbeat or the one after it.
const unresolvedTimeoutMilliseconds = 3000;

/** Encodes target reports for heartbeats: the complete report after a change, otherwise only the load of the target. */
export class ObservationEncoder {
	private readonly changes = new Map<
		TargetId,
		{digest: number; changedAt: number}
	>();

	/** Encodes a report. `now` is in milliseconds. `includeReport` is true if the recipient requested complete reports. */
	encode(
		report: TargetReport,
		options: {
			readonly ageMilliseconds: number;
			readonly now: number;
			readonly includeReport: boolean;
		},
	): MessageInitShape<typeof TargetObservationSchema> {
		const {ageMilliseconds, now, includeReport} = options;
		const digest = reportDigest(report);
		let change = this.changes.get(report.target);
		if (change?.digest !== digest) {
			change = {digest, changedAt: now};
			this.changes.set(report.target, change);
		}

		const {target} = report;
		if (includeReport || now - change.changedAt < fullReportMilliseconds) {
			return {
				target,
				ageMilliseconds,
				// Only the owner of a group needs the applied orders of a report.
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

/** Decodes the observations of an `ObservationEncoder`, using the last reports that this host received. */
export class ObservationDecoder {
	private readonly unresolved = new Map<TargetId, number>();

	/** Returns true if a load was received recently whose report this host does not have. `now` is in milliseconds. */
	wantsReports(now: number): boolean {
		for (const [target, at] of this.unresolved) {
			if (now - at > unresolvedTimeoutMilliseconds) {
				this.unresolved.delete(target);
			}
		}

		return this.unresolved.size > 0;
	}

	/** Returns the report, or undefined if it is malformed or the load belongs to a report other than `known`. */
	decode(
		{target, report, load}: TargetObservation,
		known: TargetReport | undefined,
		now: number,
	): TargetReport | undefined {
		const id = target as TargetId;
		if (!load) {
			this.unresolved.delete(id);
			return parseReport(report);
		}

		if (!known || reportDigest(known) !== load.digest) {
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

// Reports that differ only in their load share one array of artifacts, so its digest is computed once.
const artifactDigests = new WeakMap<TargetReport['artifacts'], number>();

function reportDigest(report: TargetReport): number {
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

function parseReport(report: Uint8Array): TargetReport | undefined {
	try {
		const parsed = targetReportSchema.safeParse(
			JSON.parse(Buffer.from(report).toString('utf8')),
		);
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
