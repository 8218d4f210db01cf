import type {Row} from './check.js';

const HEADINGS: readonly string[] = [
  'service',
  'requests',
  'answered',
  'failed',
  'wrong',
  'duplicated',
  'p50 ms',
  'p99 ms',
  'unavailable ms',
];

/** Formats rows as lines of a table with aligned columns. */
export function formatRows(rows: readonly Row[]): readonly string[] {
  const lines = [HEADINGS, ...rows.map(cellsOf)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...lines.map(line => line[column].length)),
  );
  return lines.map(line =>
    line
      .map((cell, column) =>
        column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column]),
      )
      .join('  '),
  );
}

/** Formats the summary line of the demo. */
export function formatTotal(total: Row): string {
  const {requests, failed, wrong, duplicated, unavailableMs} = total;
  return (
    `demo: requests=${requests} failed=${failed} wrong=${wrong} ` +
    `duplicated=${duplicated} unavailable_ms_max=${Math.round(unavailableMs)}`
  );
}

function cellsOf(row: Row): readonly string[] {
  return [
    row.service,
    String(row.requests),
    String(row.ok),
    String(row.failed),
    String(row.wrong),
    String(row.duplicated),
    percentile(row.latenciesMs, 0.5).toFixed(1),
    percentile(row.latenciesMs, 0.99).toFixed(1),
    row.unavailableMs.toFixed(0),
  ];
}

function percentile(sorted: readonly number[], share: number): number {
  const rank = Math.ceil(sorted.length * share) - 1;
  return sorted[Math.max(0, rank)] ?? 0;
}
