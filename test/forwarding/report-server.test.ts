import assert from 'node:assert/strict';
import {test} from 'node:test';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {
	type HostId,
	type PoolName,
	type SoftwareVersion,
	type TargetId,
} from '../../src/contracts/ids.js';
import {BrittleTargets} from '../../src/core/limits/brittle-targets.js';
import {CrashCorrelation} from '../../src/core/crashes/crash-correlation.js';
import {NamedRateLimits} from '../../src/core/limits/named-rate-limits.js';
import {PermitIssuer} from '../../src/core/limits/permit-issuer.js';
import {
	OwnerService,
	ReportResponseSchema,
} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {CrashObserver} from '../../src/services/forwarding/targets/crash-observer.js';
import {FleetView} from '../../src/services/forwarding/reports/fleet-view.js';
import {type PlacementOwner} from '../../src/services/forwarding/owner/placement-owner.js';
import {ReportServer} from '../../src/services/forwarding/reports/report-server.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';
import {createSharing} from './stream-sharing.js';

const target = 't' as TargetId;
const fakeOwner = {hostCount: 7} as unknown as PlacementOwner;

/** Starts a report server that relays for others, with a client. */
async function startRelay() {
	const clock = new ManualClock();
	const {sharing, versions} = createSharing(clock);
	const events = new NullEventLogger();
	const limits = new NamedRateLimits({clock});
	const brittle = new BrittleTargets({clock});
	const server = new ReportServer({
		host: 'h1' as HostId,
		capacity: 1,
		clock,
		owner: fakeOwner,
		view: new FleetView({
			name: 'p1',
			registry: new TargetRegistry({clock, events}),
		}),
		crashes: new CrashObserver({
			crashes: new CrashCorrelation({clock}),
			events,
			metrics: new NullMetricRegistry(),
			mayTry: () => false,
		}),
		limits,
		brittle,
		permits: new PermitIssuer({clock, limits}),
		isOwner: () => false,
		relayedState: () => ({
			hostCount: 7,
			ownerSilenceMilliseconds: 0,
			peerAddresses: [],
		}),
		lease: () => undefined,
		targetList: () => ({position: 0, ageMilliseconds: 0}),
		documentConfirmationAge: () => 0,
		onUrgentReport: () => undefined,
		onDocumentReceived: () => undefined,
		onLeavingTarget: () => undefined,
		streams: sharing,
		askUpstream: async () => undefined,
	});
	const port = (await server.listen(0, '127.0.0.1'))._unsafeUnwrap();
	const client = createClient(
		OwnerService,
		createConnectTransport({
			baseUrl: `http://127.0.0.1:${port}`,
			httpVersion: '1.1',
		}),
	);
	return {server, client, limits, sharing, versions, clock};
}

// Guards against a host that counts as a relay of every host that exchanges observations with it: the owner would count
// those hosts twice, and several hosts would issue the permits of the same rate.
test('a report that only exchanges observations makes its receiver neither a relay nor an issuer of permits', async () => {
	const {server, client, limits} = await startRelay();
	const report = {
		host: 'h2',
		members: ['h2'],
		rates: [{target, requestsPerSecond: 5, ageMilliseconds: 0}],
	};
	const own = {
		host: 'h1' as HostId,
		members: ['h1' as HostId],
		observedMilliseconds: 0,
		models: [],
		adapters: [],
	};
	const exchanged = await client.report({...report, observationsOnly: true});
	assert.equal(exchanged.isRelay, false);
	assert.equal(limits.get(target), 5);
	assert.deepEqual(server.mergeDemand(own).members, ['h1']);
	assert.equal(server.permitShare(), undefined);
	const refused = await client.acquirePermits({demands: [{target, count: 1}]});
	assert.equal(refused.isIssuer, false);
	const relayed = await client.report(report);
	assert.equal(relayed.isRelay, true);
	assert.deepEqual(server.mergeDemand(own).members, ['h1', 'h2']);
	assert.equal(server.permitShare(), 2 / 7);
	server.dispose();
});

// Guards the upgrade from 6c3cf75: its hosts do not ask for a version report, and get what they got before.
test('a host of an older build gets the versions of mixed pools only, a newer one that lacks some all of them', async () => {
	const {server, client, versions, clock} = await startRelay();
	versions.observe('p' as PoolName, 'v1' as SoftwareVersion);
	clock.advance(1000);
	const report = {host: 'h2', members: ['h2']};
	const older = await client.report(report);
	assert.deepEqual(older.versions, []);
	assert.equal(older.versionReachMilliseconds, undefined);
	const newer = await client.report({...report, wantsVersionReport: true});
	assert.deepEqual(
		newer.versions.map(({pool, version}) => [pool, version]),
		[['p', 'v1']],
	);
	assert.equal(newer.versionReachMilliseconds, 1000);
	assert.equal(newer.keepsStreams, true);
	// What a response of an older build leaves out reads as: nothing told, nothing kept.
	const response = fromBinary(
		ReportResponseSchema,
		toBinary(
			ReportResponseSchema,
			create(ReportResponseSchema, {isOwner: true}),
		),
	);
	assert.equal(response.versionReachMilliseconds, undefined);
	assert.equal(response.keepsStreams, false);
	server.dispose();
});
