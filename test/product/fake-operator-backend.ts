import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {sha256} from '../../src/base/common/digest.js';
import {type OrderId, type Revision} from '../../src/contracts/ids.js';
import {
	type BurnReport,
	createBurnReport,
} from '../../src/core/burn/burn-report.js';
import {DecisionJournal} from '../../src/services/decision-journal.js';
import {
	NotRecordedError,
	OperatorBackend,
	RevisionConflictError,
	UnknownOrderError,
	type DocumentInForce,
	type DocumentSubmission,
	type FleetStatus,
	type HistoryEntry,
	type OpenOrder,
	type OperatorBackendError,
} from '../../src/services/operator-backend.js';
import {OperatorServer} from '../../src/services/operator-server.js';

/** Token of the operator "ornella" in tests. */
export const operatorToken = 'token-of-ornella';

/** Keeps documents and orders in memory. */
export class FakeOperatorBackend extends OperatorBackend {
	readonly journal = new DecisionJournal({
		clock: new ManualClock(1000),
		host: 'h1',
		maximumRequestEntries: 3,
	});

	logReachable = true;
	orders = new Set(['order-1', 'order-2']);
	private readonly entries: HistoryEntry[] = [];
	private inForce: DocumentInForce | undefined;

	document(): DocumentInForce | undefined {
		return this.inForce;
	}

	history(): readonly HistoryEntry[] {
		return this.entries;
	}

	submit(
		submission: DocumentSubmission,
	): ResultAsync<Revision, OperatorBackendError> {
		if (!this.logReachable) {
			return errAsync(new NotRecordedError('The log service did not respond.'));
		}

		const current = this.entries.length;
		if (submission.expectedRevision !== current) {
			return errAsync(
				new RevisionConflictError(
					submission.expectedRevision,
					current,
					this.entries.at(-1)?.operator ?? 'nobody',
				),
			);
		}

		const revision = (current + 1) as Revision;
		const {document, operator, summary} = submission;
		this.entries.push({revision, operator, summary, time: 0});
		this.inForce = {revision, document};
		return okAsync(revision);
	}

	status(): FleetStatus {
		return {
			host: 'h1',
			revision: this.entries.length,
			logReachable: this.logReachable,
			members: [],
			leases: [],
			pools: [],
		};
	}

	explain(
		query: Parameters<OperatorBackend['explain']>[0],
	): ReturnType<OperatorBackend['explain']> {
		return okAsync(this.journal.query(query));
	}

	burn(): ResultAsync<BurnReport, OperatorBackendError> {
		return okAsync(
			createBurnReport(this.inForce?.document.callerClasses ?? [], [], 1000),
		);
	}

	openOrders(): readonly OpenOrder[] {
		return [...this.orders].map((orderId) => ({
			orderId: orderId as OrderId,
			target: 't1' as OpenOrder['target'],
			action: 'load',
			artifact: 'model/m1@1',
			bytes: 5e9,
			holder: 'h2',
			holderLive: false,
		}));
	}

	settle(orders: readonly OrderId[]): ResultAsync<void, OperatorBackendError> {
		const unknown = orders.filter((order) => !this.orders.has(order));
		if (unknown.length > 0) {
			return errAsync(new UnknownOrderError(unknown));
		}

		for (const order of orders) {
			this.orders.delete(order);
		}

		return okAsync(undefined);
	}

	notReadyReasons(): readonly string[] {
		return this.inForce ? [] : ['no document is in force'];
	}

	metrics(): string {
		return '# HELP up Up.\n# TYPE up gauge\nup 1\n';
	}
}

/** Starts a server on a port that the kernel chooses. */
export async function startFakeOperatorServer(
	backend: OperatorBackend,
): Promise<{readonly server: OperatorServer; readonly url: string}> {
	const server = new OperatorServer({
		backend,
		credentials: [
			{name: 'ornella', tokenDigest: sha256(operatorToken)},
			{name: 'tullio', tokenDigest: sha256('token-of-tullio')},
		],
		logger: new NullEventLogger(),
		limits: {
			documentBytes: 100_000,
			headerBytes: 8192,
			connections: 50,
			requestTimeoutMilliseconds: 5000,
		},
	});
	const listening = await server.listen(0, '127.0.0.1');
	const port = listening._unsafeUnwrap();
	return {server, url: `http://127.0.0.1:${port}`};
}

/** A small valid document. */
export const smallDocument = {
	schema: 1,
	pools: [
		{
			name: 'lm',
			kind: 'engine',
			targets: [
				{
					id: 't1',
					address: 'http://10.0.0.1:1',
					failureDomain: 'a',
					memoryBytes: 100,
				},
			],
		},
	],
	models: [{id: 'm1', pool: 'lm', bytes: 60}],
	offerings: [{name: 'drafts', model: 'm1'}],
	callerClasses: [{name: 'schools', urgency: 'urgent'}],
	weightStore: {
		loadsPerSecond: 1,
		concurrentLoads: 1,
		concurrentAdapterLoads: 1,
	},
};
