import {randomInt} from 'node:crypto';
import {v4 as uuid, v7 as timeOrderedUuid} from 'uuid';
import {type Disposable, DisposableStore} from '../base/common/disposable.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {type MetricRegistry} from '../base/common/metric-registry.js';
import {SeededRandomSource} from '../base/common/random-source.js';
import {SystemClock} from '../base/node/system-clock.js';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {HttpTargetConnector} from '../adapters/node/http-target-connector.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {
	type IncarnationId,
	type RecordId,
	type RequestId,
	type Revision,
} from '../contracts/ids.js';
import {SchemaOnlyDocumentValidator} from '../core/document-validator.js';
import {ClaimKeeper} from '../services/entry/claim-keeper.js';
import {ClaimingServiceGateway} from '../services/entry/claiming-service-gateway.js';
import {EngineModelGateway} from '../services/entry/engine-model-gateway.js';
import {EntryServer} from '../services/entry/entry-server.js';
import {HostGate} from '../services/entry/host-gate.js';
import {LogClaimAppender} from '../services/entry/log-claim-appender.js';
import {HistogramMetricRegistry} from '../services/histogram-metric-registry.js';
import {LogFollower} from '../services/log-follower.js';
import {RecordAppender} from '../services/record-appender.js';
import {type ServiceOptions} from '../services/service-options.js';
import {LeastOutstandingAssigner} from '../services/targets/least-outstanding-assigner.js';
import {ReportPoller} from '../services/targets/report-poller.js';
import {TargetDirectory} from '../services/targets/target-directory.js';
import {WinstonEventLogger} from '../services/winston-event-logger.js';
import {type Settings} from './settings.js';
