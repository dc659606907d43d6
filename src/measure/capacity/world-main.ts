import process from 'node:process';
import {rendezvousOrder} from '../../base/common/rendezvous-hash.js';
import {
	type HostId,
	type LeaseName,
	type RecordId,
	type Revision,
} from '../../contracts/ids.js';
import {
	hostStartedSchema,
	type ControlRecord,
} from '../../contracts/control-record.js';
import {HostListServer} from '../../stand-ins/host-list-server.js';
import {LogServer} from '../../stand-ins/log-server.js';
import {buildFleetDocument} from './fleet-document.js';
import {
	leasesOf,
	measuredLease,
	measuredName,
	peerNames,
	type FleetShape,
} from './fleet-shape.js';
import {SimulatedEngines} from './simulated-engines.js';
import {SimulatedPeers} from './simulated-peers.js';

// Runs stand-ins for the environment of the measured node: log service, host list, engines and peers.
// The command-line argument is the shape of the fleet as JSON.
const renewalMilliseconds = 2000;
const shape = JSON.parse(process.argv[2]!) as FleetShape;
const secret = 'peer-secret-of-the-measurement';
const measured = measuredName(shape);
const hosts = peerNames(shape);
const log = new LogServer();
const hostList = new HostListServer({
	entries: [...hosts, measured].map((name) => ({name, state: 'live'})),
});
const engines = new SimulatedEngines(shape);
const engineAddress = await engines.start();
const leaseOfMeasured = measuredLease(shape);
const holders = new Map<LeaseName, HostId>();
for (const lease of leasesOf(shape)) {
	const holder =
		lease === leaseOfMeasured ? measured : rendezvousOrder(lease, hosts)[0];
	if (holder) {
		holders.set(lease, holder);
	}
}

let nextId = 0;
const append = (body: ControlRecord): number =>
	log.store.append('control', [{id: `world-${nextId++}` as RecordId, body}]);
const peers = new SimulatedPeers({
	shape,
	hosts,
	measured,
	holders,
	engines,
	secret,
	nextOffset: () => log.store.bounds('control').next,
});
await peers.start();
const document = buildFleetDocument(shape, engineAddress);
append({
	kind: 'document-submitted',
	expectedRevision: 0 as Revision,
	operator: 'measurement',
	summary: 'measured fleet',
	time: Date.now(),
	document,
});
for (const host of hosts) {
	append({
		kind: 'host-started',
		host,
		incarnation: `${host}-run` as never,
		failureDomain: 'domain-0' as never,
		peerAddress: `${peers.address}/${host}`,
		time: Date.now(),
	});
}

const leasesByHost = new Map<HostId, Array<{lease: LeaseName; token: never}>>();
for (const [lease, holder] of holders) {
	if (holder === measured) {
		continue;
	}

	const token = append({
		kind: 'lease-claimed',
		lease,
		holder,
		incarnation: `${holder}-run` as never,
		expectedOffset: null,
		reason: 'never claimed',
		time: Date.now(),
	});
	const leases = leasesByHost.get(holder) ?? [];
	leases.push({lease, token: token as never});
	leasesByHost.set(holder, leases);
}

const renew = (host: HostId) => {
	const leases = leasesByHost.get(host);
	if (leases) {
		append({
			kind: 'leases-renewed',
			incarnation: `${host}-run` as never,
			leases,
		});
	}
};

for (const [index, host] of [...leasesByHost.keys()].entries()) {
	setTimeout(
		() => {
			setInterval(renew, renewalMilliseconds, host);
		},
		(renewalMilliseconds * index) / leasesByHost.size,
	);
}

if (shape.extraRecords > 0) {
	setInterval(() => {
		append({
			kind: 'leases-renewed',
			incarnation: 'nobody' as never,
			leases: [],
		});
	}, 1000 / shape.extraRecords);
}

const {address: logAddress} = await log.start();
const {address: hostListAddress} = await hostList.start();
let nextScanOffset = log.store.bounds('control').next as number;
const subscription = log.store.streamGrown.subscribe((stream) => {
	if (stream !== 'control') {
		return;
	}

	const batch = log.store.read('control', nextScanOffset, 1000);
	for (const record of batch?.records ?? []) {
		nextScanOffset = record.offset + 1;
		const started = hostStartedSchema.safeParse(record.body);
		if (started.success && started.data.host === measured) {
			peers.beginHeartbeats(started.data.peerAddress);
			void subscription.dispose();
			return;
		}
	}
});
process.stdout.write(
	`${JSON.stringify({
		kind: 'world-started',
		host: measured,
		log: logAddress,
		hostList: hostListAddress,
		peers: peers.address,
		engines: engineAddress,
		secret,
		documentBytes: JSON.stringify(document).length,
	})}\n`,
);
