/** A value of an entry that no worker writes, and whether its target can be used all the same. */
export type OddEntry = {
	readonly name: string;
	readonly key?: string;
	readonly value: Buffer;
	readonly isUsable?: boolean;
};

/** An entry as a worker writes it. */
export const soundEntry = {
	service: 's',
	addr: '127.0.0.1:9',
	zone: 'z',
	slots: 4,
	state: 'ready',
	born: 1_770_000_000_000,
	seq: 4,
};

function odd(name: string, change: Record<string, unknown>): OddEntry {
	return {name, value: Buffer.from(JSON.stringify({...soundEntry, ...change}))};
}

/** An entry with a field in the text that `JSON.stringify` does not write. */
function raw(name: string, field: string, text: string): OddEntry {
	const {[field]: _, ...rest} = soundEntry as Record<string, unknown>;
	return {
		name,
		value: Buffer.from(
			`${JSON.stringify(rest).slice(0, -1)},"${field}":${text}}`,
		),
	};
}

function usable(entry: OddEntry): OddEntry {
	return {...entry, isUsable: true};
}

const depths = [10, 1000, 40_000, 100_000];
/** Above it, the text of an entry with nested objects exceeds the size limit. */
const usableDepth = 40_000;
const fields = ['models', 'at_hand', 'slots', 'addr', 'born'];
const wrongValues: readonly unknown[] = [null, true, 4, 'text', [1], {a: 1}];
const hugeText = '9'.repeat(300);

/** Entries that no worker writes. */
export const oddEntries: readonly OddEntry[] = [
	...depths.flatMap((depth) => [
		...fields.map((field) =>
			raw(
				`${field} nested ${depth} levels`,
				field,
				'['.repeat(depth) + ']'.repeat(depth),
			),
		),
		{
			...raw(
				`unknown field nested ${depth} levels`,
				'unknown',
				'{"a":'.repeat(depth) + '1' + '}'.repeat(depth),
			),
			isUsable: depth <= usableDepth,
		},
	]),
	raw('slots 1e308', 'slots', '1e308'),
	raw('slots 1e400', 'slots', '1e400'),
	raw('slots -0', 'slots', '-0'),
	raw('slots 2^53+1', 'slots', '9007199254740993'),
	raw('slots 2^33', 'slots', '8589934592'),
	raw('slots NaN', 'slots', 'NaN'),
	odd('slots NaN as text', {slots: 'NaN'}),
	raw('born 1e400', 'born', '1e400'),
	raw('seq 1e400', 'seq', '1e400'),
	usable(raw('born 1e308', 'born', '1e308')),
	usable(raw('born -0', 'born', '-0')),
	usable(raw('born 2^53+1', 'born', '9007199254740993')),
	usable(raw('seq 1e308', 'seq', '1e308')),
	usable(raw('seq -0', 'seq', '-0')),
	usable(raw('seq 2^53+1', 'seq', '9007199254740993')),
	usable(raw('seq of 300 digits', 'seq', hugeText)),
	...[
		'127.0.0.1:0',
		'127.0.0.1:65536',
		'127.0.0.1:99999',
		'127.0.0.1:080',
		'127.0.0.1:80/path',
		'user@127.0.0.1:80',
		'[::1]:80',
		'::1:80',
		`${hugeText}:80`,
		`127.0.0.1:${hugeText}`,
		'127.0.0.256:80',
		'999.1.1.1:80',
		'010.0.0.1:80',
		'1.2.3:80',
		'....:80',
		'127.0.0.1:80\n',
		'',
	].map((addr) => odd(`address ${addr.slice(0, 30)}`, {addr})),
	...['service', 'addr', 'zone', 'slots', 'state'].flatMap((field) =>
		wrongValues
			.filter((value) => !(field === 'slots' && value === 4))
			.filter(
				(value) => !(['service', 'zone'].includes(field) && value === 'text'),
			)
			.map((value) =>
				odd(`${field} ${JSON.stringify(value)}`, {[field]: value}),
			),
	),
	...['models', 'at_hand'].flatMap((field) =>
		[null, true, 4, 'text', [1]].map((value) =>
			odd(`${field} ${JSON.stringify(value)}`, {[field]: value}),
		),
	),
	odd('two million models of a wrong type', {
		models: Array.from({length: 2_000_000}, () => 1),
	}),
	odd('models of a wrong type within the size limit', {
		models: Array.from({length: 120_000}, () => 1),
	}),
	odd('10 MB of a name', {zone: 'z'.repeat(10_000_000)}),
	odd('10 MB of an unknown field', {unknown: 'z'.repeat(10_000_000)}),
	odd('a long name', {service: 's'.repeat(100_000)}),
	usable(raw('duplicate keys', 'slots', '1e400,"slots":4')),
	usable(raw('__proto__', '__proto__', '{"slots":"odd"}')),
	usable(odd('constructor', {constructor: 4, toString: null})),
	{
		name: 'invalid UTF-8',
		value: Buffer.concat([
			Buffer.from(JSON.stringify(soundEntry).replace('"z"}', '"z')),
			Buffer.from([0xc3, 0x28]),
		]),
	},
	{
		name: 'invalid UTF-8 within a name',
		value: Buffer.from(
			JSON.stringify(soundEntry).replace('"z"', '"\u00C3("'),
			'latin1',
		),
	},
	{name: 'no JSON', value: Buffer.from('{')},
	{name: 'zero bytes', value: Buffer.alloc(100)},
	{name: 'null', value: Buffer.from('null')},
	{name: 'an array', value: Buffer.from('[[]]')},
	...['', 'a\r\nb', 'i\u0000', '\u{1F600}', ' '].map((key) => ({
		name: `key ${JSON.stringify(key)}`,
		key,
		value: Buffer.from(JSON.stringify(soundEntry)),
	})),
	usable({
		name: 'key __proto__',
		key: '__proto__',
		value: Buffer.from(JSON.stringify(soundEntry)),
	}),
];
