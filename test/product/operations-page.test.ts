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

function listSettingNames(schema: z.core.$ZodType, prefix: string): string[] {
	const definition = schema._zod.def as {
		shape?: Record<string, z.core.$ZodType>;
		innerType?: z.core.$ZodType;
		element?: z.core.$ZodType;
	};
	const inner = definition.innerType;
	if (inner) {
		return listSettingNames(inner, prefix);
	}

	if (definition.element && prefix === 'operators') {
		return listSettingNames(definition.element, `${prefix}[]`);
	}

	return definition.shape
		? Object.entries(definition.shape).flatMap(([key, member]) =>
				listSettingNames(member, prefix === '' ? key : `${prefix}.${key}`),
			)
		: [prefix];
}

function listCommandNames(command: Command, prefix: string): string[] {
	return command.commands.length === 0
		? [prefix]
		: command.commands.flatMap((child) =>
				listCommandNames(child, `${prefix} ${child.name()}`.trim()),
			);
}

test('docs/OPERATIONS.md lists every setting, command and exit code', () => {
	for (const schema of [settingsSchema, forwardingSettingsSchema]) {
		for (const setting of listSettingNames(schema, '')) {
			assert.ok(page.includes(`| \`${setting}\``), setting);
		}
	}

	const program = createCommandLine(
		async () => ok({callers: 0, operators: 0, peers: 0}),
		async () => ok(''),
	);
	for (const command of listCommandNames(program, '')) {
		assert.ok(page.includes(`| \`${command}`), command);
	}

	for (const {code, meaning} of Object.values(exitCodes)) {
		assert.match(page, new RegExp(String.raw`\| ${code} +\| ${meaning} +\|`));
	}
});
