/** Formats rows as an aligned table; the first row is the header. The first column and text columns are left-aligned, numeric columns right-aligned. */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string {
	const columns = rows[0]?.length ?? 0;
	const widths = Array.from({length: columns}, (_, column) =>
		Math.max(...rows.map((row) => row[column]?.length ?? 0)),
	);
	const numeric = widths.map((_, column) =>
		rows
			.slice(1)
			.every((row) => /^-?[\d.]+[%\w]{0,3}$/.test(row[column] ?? '')),
	);
	return rows
		.map((row) =>
			row
				.map((cell, column) =>
					column > 0 && numeric[column]
						? cell.padStart(widths[column]!)
						: cell.padEnd(widths[column]!),
				)
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
}
