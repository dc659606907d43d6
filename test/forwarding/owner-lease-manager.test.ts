import assert from 'node:assert/strict';
import {test} from 'node:test';
import {okAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type HostId,
	type PoolName,
	type SoftwareVersion,
} from '../../src/contracts/ids.js';
import {
	OwnerLog,
	type OwnerRecord,
	type PositionedOwnerRecord,
} from '../../src/contracts/shared-store.js';
import {type VersionReport} from '../../src/contracts/version-report.js';
import {OwnerLease} from '../../src/core/leases/owner-lease.js';
import {OwnerLeaseManager} from '../../src/services/forwarding/owner/owner-lease-manager.js';
import {waitUntil} from '../process/processes.js';

const timing = {
	renewalMilliseconds: 800,
	validityMilliseconds: 1500,
	takeoverDelayMilliseconds: 1800,
	handoverMilliseconds: 0,
};

class MemoryOwnerLog extends OwnerLog {
	readonly records: PositionedOwnerRecord[] = [];

	read(from: number | undefined) {
		return okAsync({
			records: this.records.slice(from ?? 0),
			next: this.records.length,
			isRestored: false,
			...(from === undefined ? {isWhole: true} : {}),
		});
	}

	append(record: OwnerRecord, expectedEnd: number) {
		const position = this.records.length;
		if (position !== expectedEnd) {
			return okAsync({
				kind: 'conflict' as const,
				next: position,
				isRestored: false,
			});
		}

		this.records.push({...record, position, isFromCopy: false});
		return okAsync({kind: 'appended' as const, position});
	}

	/** The host and kind of each record other than renewals. */
	history(): string[] {
		return this.records
			.filter(({kind}) => kind !== 'renewed')
			.map(({host, kind}) => `${host} ${kind}`);
	}
}

/** What the hosts know of software versions. */
const toldVersions: VersionReport = {
	versions: [
		{
			pool: 'p' as PoolName,
			version: 'v1' as SoftwareVersion,
			ageMilliseconds: 10,
		},
	],
	reachMilliseconds: 500,
};

/** A host whose abstention the test sets. */
function startHost(name: string, clock: ManualClock, log: OwnerLog) {
	const abstention = {isRequired: false};
	const versionReports: VersionReport[] = [];
	const manager = new OwnerLeaseManager({
		lease: new OwnerLease(
			{host: name as HostId, incarnation: `${name}-1`, peerAddress: name},
			timing,
		),
		log,
		clock,
		random: new SeededRandomSource(1),
		events: new NullEventLogger(),
		isHolderResponsive: () => false,
		mustAbstain: () => abstention.isRequired,
		quarantined: () => [],
		onSuspicionsRead() {
			// No suspicions are recorded.
		},
		versionReport: () => toldVersions,
		onVersionsRead(report) {
			versionReports.push(report);
		},
		sinceLastOrder: () => undefined,
	});
	void manager.run();
	return {manager, abstention, versionReports};
}

// Guards against an owner that keeps the lease although no order of it arrives.
test('a host that must abstain hands over the lease and gets it back after the next holder', async (context) => {
	const clock = new ManualClock();
	const log = new MemoryOwnerLog();
	const first = startHost('a', clock, log);
	context.after(() => {
		first.manager.dispose();
	});
	await waitUntil('a holds the lease', () => first.manager.isHolder);
	const second = startHost('b', clock, log);
	context.after(() => {
		second.manager.dispose();
	});
	await waitUntil('b has read the log', () => second.manager.holder);
	first.abstention.isRequired = true;
	await waitUntil('b holds the lease', () => second.manager.isHolder);
	assert.equal(first.manager.isHolder, false);
	assert.equal(first.manager.token(), undefined);

	first.abstention.isRequired = false;
	second.abstention.isRequired = true;
	await waitUntil('a holds the lease again', () => first.manager.isHolder);
	assert.deepEqual(log.history(), [
		'a claimed',
		'a released',
		'b claimed',
		'b released',
		'a claimed',
	]);
});

// Guards against a fleet without an owner while no host reaches a target, and against an owner that gives up the lease
// again and again meanwhile.
test('a host that must abstain claims the lease when no other host does, keeps it, and offers it again later', async (context) => {
	const clock = new ManualClock();
	const log = new MemoryOwnerLog();
	const host = startHost('a', clock, log);
	context.after(() => {
		host.manager.dispose();
	});
	await waitUntil('a holds the lease', () => host.manager.isHolder);
	host.abstention.isRequired = true;
	await waitUntil('a has released the lease', () => log.records.length === 2);
	clock.advance(4900);
	await new Promise((resolve) => {
		setTimeout(resolve, 1000);
	});
	assert.equal(log.records.length, 2);
	clock.advance(200);
	await waitUntil('a holds the lease again', () => host.manager.isHolder);
	for (let renewals = 1; renewals <= 5; renewals++) {
		clock.advance(800);
		await waitUntil(
			'a renews the lease',
			() => log.records.length === 3 + renewals,
		);
	}

	assert.deepEqual(log.history(), ['a claimed', 'a released', 'a claimed']);
	clock.advance(20_000);
	await waitUntil('a offers the lease', () => log.history().length === 4);
	assert.equal(log.history().at(-1), 'a released');
});

// Guards against software versions that end with the last process that saw them: the records of the lease keep them.
test('a host learns the software versions of the time before from the log of the lease', async (context) => {
	const clock = new ManualClock();
	const log = new MemoryOwnerLog();
	const first = startHost('a', clock, log);
	context.after(() => {
		first.manager.dispose();
	});
	await waitUntil('a holds the lease', () => first.manager.isHolder);
	// Nobody ran before the first holder.
	assert.deepEqual(first.versionReports[0], {
		versions: [],
		reachMilliseconds: Number.POSITIVE_INFINITY,
	});
	const second = startHost('b', clock, log);
	context.after(() => {
		second.manager.dispose();
	});
	await waitUntil('b has read the log', () => second.versionReports.length > 0);
	assert.deepEqual(second.versionReports[0], toldVersions);
});

// Guards the upgrade from 6c3cf75, whose records tell no versions: what it does not tell is not known.
test('the record of an older build does not say that there was no other software version', async (context) => {
	const clock = new ManualClock();
	const log = new MemoryOwnerLog();
	const old = {
		host: 'o' as HostId,
		incarnation: 'o-1',
		peerAddress: 'o',
		isFromCopy: false,
	};
	log.records.push(
		{...old, kind: 'claimed', position: 0},
		{...old, kind: 'renewed', position: 1, versionReport: toldVersions},
		{...old, kind: 'renewed', position: 2},
	);
	const host = startHost('b', clock, log);
	context.after(() => {
		host.manager.dispose();
	});
	await waitUntil('b has read the log', () => host.versionReports.length > 0);
	assert.deepEqual(host.versionReports[0], {
		...toldVersions,
		reachMilliseconds: 0,
	});
});
