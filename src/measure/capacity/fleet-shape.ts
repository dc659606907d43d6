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
} from '../../core/leases/lease-names.js';

/** Extra duty of the measured node. Every node serves as an entry. */
export type NodeRole = 'entry' | 'owner' | 'planner' | 'snapshots';

/** Size of a measured fleet and role of the measured node. */
export type FleetShape = {
	readonly members: number;
	readonly targets: number;
	readonly models: number;
	readonly role: NodeRole;
	/** Records appended per second in addition to the lease renewals of the other hosts. */
	readonly extraRecords: number;
};

/** Names the failure domains of a fleet: one for each 25 targets begun, at least one and at most ten. */
export function domainsOf({targets}: FleetShape): readonly string[] {
	return names('domain', Math.max(1, Math.min(10, Math.ceil(targets / 25))));
}

/** Names the engine pools: one for a small fleet, four from 1000 targets on. */
export function poolsOf({targets}: FleetShape): readonly string[] {
	return names('pool', targets >= 1000 ? 4 : 1);
}

/** Returns all leases that the document of the fleet requires. */
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

/** Returns the lease that the measured node holds, or undefined for an entry. */
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

/** Returns the identifiers of the simulated hosts, one less than the members of the fleet. */
export function peerNames({members}: FleetShape): HostId[] {
	return names('peer', members - 1) as HostId[];
}

/**
 * Finds a host identifier that makes the measured node the preferred holder of its lease, so that it claims the
 * lease without delay and does not hand it over during the measurement.
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

/** Returns `count` names, numbered from zero. */
export function names(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}
