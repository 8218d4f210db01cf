/**
 * Aligns the cells of a table in columns of text.
 *
 * @example
 * formatTable([['a', 'b'], ['long', 'c']]); // ['a     b', 'long  c']
 */
export function formatTable(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const widths = columnWidths(rows);
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
}

function columnWidths(rows: readonly (readonly string[])[]): readonly number[] {
  const columns = Math.max(0, ...rows.map(row => row.length));
  return Array.from({length: columns}, (_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
}
