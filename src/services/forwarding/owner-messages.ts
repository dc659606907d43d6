import {type MessageInitShape} from '@bufbuild/protobuf';
import {
	type AdapterId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type LeaseStatus} from '../../core/owner-lease.js';
import {
	type LeaseState,
	type ReportRequest,
	type ReportRequestSchema,
	type ReportResponseSchema,
	type TargetContent,
	type TargetContentSchema,
} from '../../generated/daisylever/owner/v1/owner_pb.js';
import {type HostDemand} from './host-demand.js';
import {type PlacedContent} from './target-registry.js';

/** Converts the demand of a host to a message. `known` is the owner and version of the last update that the host received. */
export function toReportRequest(
	demand: HostDemand,
	known: {readonly owner: string; readonly version: number},
): MessageInitShape<typeof ReportRequestSchema> {
	return {
		host: demand.host,
		leaving: demand.isLeaving,
		observedMilliseconds: Math.floor(demand.observedMilliseconds),
		models: demand.models.map(({model, requests, idleMilliseconds}) => ({
			model,
			requests,
			idleMilliseconds: Math.floor(idleMilliseconds),
		})),
		adapters: demand.adapters.map(({model, adapter, requests, waiting}) => ({
			model,
			adapter,
			requests,
			waiting,
		})),
		deaths: demand.deaths.map(({target, targetIncarnation, fingerprints}) => ({
			target,
			incarnation: targetIncarnation,
			fingerprints: [...fingerprints],
		})),
		knownVersion: BigInt(known.version),
		knownOwner: known.owner,
	};
}

/** Converts a message to the demand of a host. */
export function fromReportRequest(message: ReportRequest): HostDemand {
	return {
		host: message.host as HostId,
		isLeaving: message.leaving,
		observedMilliseconds: message.observedMilliseconds,
		models: message.models.map(({model, requests, idleMilliseconds}) => ({
			model: model as ModelId,
			requests,
			idleMilliseconds,
		})),
		adapters: message.adapters.map(({model, adapter, requests, waiting}) => ({
			model: model as ModelId,
			adapter: adapter as AdapterId,
			requests,
			waiting,
		})),
		deaths: message.deaths.map(({target, incarnation, fingerprints}) => ({
			target: target as TargetId,
			targetIncarnation: incarnation as TargetIncarnation,
			fingerprints: fingerprints as Fingerprint[],
		})),
	};
}

/** Converts the content of a target to a message. */
export function toTargetContent(
	content: PlacedContent,
): MessageInitShape<typeof TargetContentSchema> {
	return {
		target: content.target,
		incarnation: content.incarnation,
		models: content.models.map(({model, adapters, isRetiring}) => ({
			model,
			adapters: [...adapters],
			retiring: isRetiring,
		})),
	};
}

/** Converts a message to the content of a target. */
export function fromTargetContent(message: TargetContent): PlacedContent {
	return {
		target: message.target as TargetId,
		incarnation: message.incarnation as TargetIncarnation,
		models: message.models.map(({model, adapters, retiring}) => ({
			model: model as ModelId,
			adapters: adapters as AdapterId[],
			isRetiring: retiring,
		})),
	};
}

/** Converts a lease status to the `lease` field of a response. Without a status the field is left out. */
export function toLeaseField(
	lease: LeaseStatus | undefined,
): Pick<MessageInitShape<typeof ReportResponseSchema>, 'lease'> {
	if (!lease) {
		return {};
	}

	const {position, ageMilliseconds, isExpired, sinceLastOrderMilliseconds} =
		lease;
	return {
		lease: {
			position: BigInt(position),
			ageMilliseconds: Math.floor(ageMilliseconds),
			expired: isExpired,
			...(sinceLastOrderMilliseconds === undefined
				? {}
				: {
						sinceLastOrderMilliseconds: Math.floor(sinceLastOrderMilliseconds),
					}),
		},
	};
}

/** Converts a message to a lease status. */
export function fromLeaseState(message: LeaseState): LeaseStatus {
	return {
		position: Number(message.position),
		ageMilliseconds: message.ageMilliseconds,
		isExpired: message.expired,
		sinceLastOrderMilliseconds: message.sinceLastOrderMilliseconds,
	};
}
