import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {type HostId, type TargetId} from '../../src/contracts/ids.js';
import {BrittleTargets} from '../../src/core/brittle-targets.js';
import {CrashCorrelation} from '../../src/core/crash-correlation.js';
import {NamedRateLimits} from '../../src/core/named-rate-limits.js';
import {PermitIssuer} from '../../src/core/permit-issuer.js';
import {OwnerService} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {CrashObserver} from '../../src/services/forwarding/crash-observer.js';
import {FleetView} from '../../src/services/forwarding/fleet-view.js';
import {type PlacementOwner} from '../../src/services/forwarding/placement-owner.js';
import {ReportServer} from '../../src/services/forwarding/report-server.js';
import {TargetRegistry} from '../../src/services/forwarding/target-registry.js';
import {createSharing} from './stream-sharing.js';

const target = 't' as TargetId;
const fakeOwner = {hostCount: 7} as unknown as PlacementOwner;

// Guards against a host that counts as a relay of every host that exchanges observations with it: the owner would count
// those hosts twice, and several hosts would issue the permits of the same rate.
test('a report that only exchanges observations makes its receiver neither a relay nor an issuer of permits', async () => {
	const clock = new ManualClock();
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
		onUrgentReport: () => undefined,
		onDocumentReceived: () => undefined,
		onLeavingTarget: () => undefined,
		streams: createSharing(clock).sharing,
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
