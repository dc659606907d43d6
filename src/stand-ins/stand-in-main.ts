import process from 'node:process';
import {Command, Option} from 'commander';
import {z} from 'zod';
import {EngineServer, type EngineServerOptions} from './engine-server.js';
import {
	HostListServer,
	type HostListServerOptions,
} from './host-list-server.js';
import {LogServer, type LogServerOptions} from './log-server.js';
import {LogStore} from './log-store.js';
import {ServiceServer, type ServiceServerOptions} from './service-server.js';
import {type StandInServer} from './stand-in-server.js';
import {
	WeightStoreServer,
	type WeightStoreServerOptions,
} from './weight-store-server.js';

const kinds = [
	'engine',
	'service',
	'log',
	'host-list',
	'weight-store',
] as const;
type Kind = (typeof kinds)[number];

const optionsSchema = z.record(z.string(), z.unknown());

function parseOptions(text: string): Record<string, unknown> {
	return optionsSchema.parse(JSON.parse(text));
}

function createStandIn(
	kind: Kind,
	options: Record<string, unknown>,
): Pick<StandInServer, 'start' | 'dispose' | 'setFaults' | 'crashHandler'> {
	switch (kind) {
		case 'engine': {
			return new EngineServer(options);
		}

		case 'service': {
			return new ServiceServer(options);
		}

		case 'log': {
			const {retainedRecords, ...serverOptions} = options;
			const store = new LogStore(retainedRecords as number | undefined);
			return new LogServer({...(serverOptions as LogServerOptions), store});
		}

		case 'host-list': {
			return new HostListServer(options);
		}

		case 'weight-store': {
			return new WeightStoreServer(options);
		}
	}
}

const command = new Command('stand-in')
	.description('Runs a stand-in for an external system that daisylever uses.')
	.addOption(
		new Option('--kind <kind>', 'external system that the stand-in replaces')
			.choices(kinds)
			.makeOptionMandatory(),
	)
	.option(
		'--options <json>',
		'options of the stand-in as JSON',
		parseOptions,
		{},
	)
	.option(
		'--faults <json>',
		'faults that are enabled at the start as JSON',
		parseOptions,
		{},
	)
	.action(
		async (settings: {
			readonly kind: Kind;
			readonly options: Record<string, unknown>;
			readonly faults: Record<string, unknown>;
		}) => {
			const standIn = createStandIn(settings.kind, settings.options);
			standIn.setFaults(settings.faults);
			standIn.crashHandler = () => {
				process.exit(1);
			};

			const {address} = await standIn.start();
			process.stdout.write(
				`${JSON.stringify({kind: settings.kind, address, pid: process.pid})}\n`,
			);
			const stop = () => {
				void Promise.resolve(standIn.dispose()).then(() => process.exit(0));
			};

			process.once('SIGTERM', stop);
			process.once('SIGINT', stop);
		},
	);

await command.parseAsync(process.argv);
