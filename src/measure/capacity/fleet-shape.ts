import {rendezvousOrder} from '../../base/common/rendezvous-hash.js';
import {
	type HostId,
	type LeaseName,
	type PoolName,
} from '../../contracts/ids.js';
import {
	groupLeaseName,
	planLeaseName,
	snapshotLeaseName,
} from '../../core/lease-names.js';

/** What the measured node does besides what every node does. */
export type NodeRole = 'entry' | 'owner' | 'planner' | 'snapshots';

/** Size of a measured fleet. */
export type FleetShape = {
	readonly members: number;
	readonly targets: number;
	readonly models: number;
	readonly role: NodeRole;
	/** Records appended a second beyond the renewals of the other hosts. */
	readonly extraRecords: number;
};

/** Failure domains and pools of the measured fleets. At most one group for each 25 targets. */
export function domainsOf({targets}: FleetShape): readonly string[] {
	return names('domain', Math.max(1, Math.min(10, Math.ceil(targets / 25))));
}

/** Pools of engines: one for a small fleet, four at the design scale. */
export function poolsOf({targets}: FleetShape): readonly string[] {
	return names('pool', targets >= 1000 ? 4 : 1);
}

/** All leases that the fleet's document calls for. */
export function leasesOf(shape: FleetShape): LeaseName[] {
	return [
		...poolsOf(shape).flatMap((pool) => [
			planLeaseName(pool as PoolName),
			...domainsOf(shape).map((domain) =>
				groupLeaseName(pool as PoolName, domain as never),
			),
		]),
		snapshotLeaseName,
	];
}

/** The lease that the measured node holds, if its role has one. */
export function measuredLease(shape: FleetShape): LeaseName | undefined {
	const pool = poolsOf(shape)[0]! as PoolName;
	switch (shape.role) {
		case 'owner': {
			return groupLeaseName(pool, domainsOf(shape)[0] as never);
		}

		case 'planner': {
			return planLeaseName(pool);
		}

		case 'snapshots': {
			return snapshotLeaseName;
		}

		case 'entry': {
			return undefined;
		}
	}
}

/** Names of the simulated hosts. */
export function peerNames({members}: FleetShape): HostId[] {
	return names('peer', members - 1) as HostId[];
}

/**
 * A name for the measured node under which it is the preferred holder of its lease, so that it claims
 * the lease without delay and does not hand it over during the measurement.
 */
export function measuredName(shape: FleetShape): HostId {
	const lease = measuredLease(shape);
	const peers = peerNames(shape);
	for (let attempt = 0; ; attempt++) {
		const name = `measured-${attempt}` as HostId;
		if (!lease || rendezvousOrder(lease, [...peers, name])[0] === name) {
			return name;
		}
	}
}

/** Numbered names from zero. */
export function names(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}
