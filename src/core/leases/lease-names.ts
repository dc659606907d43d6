import {
	type FailureDomain,
	type LeaseName,
	type PoolName,
} from '../../contracts/ids.js';

/** Name of the lease of the host that plans the placement of a pool. */
export function planLeaseName(pool: PoolName): LeaseName {
	return `plan/${pool}` as LeaseName;
}

/** Name of the lease of the host that sends orders to the targets of a pool in one failure domain. */
export function groupLeaseName(
	pool: PoolName,
	failureDomain: FailureDomain,
): LeaseName {
	return `group/${pool}/${failureDomain}` as LeaseName;
}

/** Name of the lease of the host that carries claims forward: appends them again before the log truncates their records. */
export const claimsLeaseName = 'claims' as LeaseName;

/** Name of the lease of the host that writes snapshots of the control state. */
export const snapshotLeaseName = 'snapshots' as LeaseName;
