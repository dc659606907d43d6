import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {type Command} from 'commander';
import {ok} from 'neverthrow';
import {type z} from 'zod';
import {exitCodes} from '../../src/program/command-failure.js';
import {createCommandLine} from '../../src/program/command-line.js';
import {forwardingSettingsSchema} from '../../src/program/forwarding-settings.js';
import {settingsSchema} from '../../src/program/settings.js';

const page = readFileSync('docs/OPERATIONS.md', 'utf8');

function settingNames(schema: z.core.$ZodType, prefix: string): string[] {
	const definition = schema._zod.def as {
		shape?: Record<string, z.core.$ZodType>;
		innerType?: z.core.$ZodType;
		element?: z.core.$ZodType;
	};
	const inner = definition.innerType;
	if (inner) {
		return settingNames(inner, prefix);
	}

	if (definition.element && prefix === 'operators') {
		return settingNames(definition.element, `${prefix}[]`);
	}

	return definition.shape
		? Object.entries(definition.shape).flatMap(([key, member]) =>
				settingNames(member, prefix === '' ? key : `${prefix}.${key}`),
			)
		: [prefix];
}

function commandNames(command: Command, prefix: string): string[] {
	return command.commands.length === 0
		? [prefix]
		: command.commands.flatMap((child) =>
				commandNames(child, `${prefix} ${child.name()}`.trim()),
			);
}

// Guards against settings, commands and exit codes that the page does not mention.
test('docs/OPERATIONS.md lists every setting, command and exit code', () => {
	for (const schema of [settingsSchema, forwardingSettingsSchema]) {
		for (const setting of settingNames(schema, '')) {
			assert.ok(page.includes(`| \`${setting}\``), setting);
		}
	}

	const program = createCommandLine(
		async () => ok({callers: 0, operators: 0, peers: 0}),
		async () => ok(''),
	);
	for (const command of commandNames(program, '')) {
		assert.ok(page.includes(`| \`${command}`), command);
	}

	for (const {code, meaning} of Object.values(exitCodes)) {
		assert.match(page, new RegExp(String.raw`\| ${code} +\| ${meaning} +\|`));
	}
});
