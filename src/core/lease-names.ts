import {
	type FailureDomain,
	type LeaseName,
	type PoolName,
} from '../contracts/ids.js';

/** The lease of the host that plans a pool. */
export function planLeaseName(pool: PoolName): LeaseName {
	return `plan/${pool}` as LeaseName;
}

/** The lease of the host that sends orders to the targets of a pool in a failure domain. */
export function groupLeaseName(
	pool: PoolName,
	failureDomain: FailureDomain,
): LeaseName {
	return `group/${pool}/${failureDomain}` as LeaseName;
}

/** The lease of the host that carries claims forward. */
export const claimsLeaseName = 'claims' as LeaseName;

/** The lease of the host that writes snapshots of the control state. */
export const snapshotLeaseName = 'snapshots' as LeaseName;
