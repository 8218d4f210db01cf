// Writes docs/METRICS.md from the metrics.ts files of all modules. With --check,
// fails if the file is not current.
import {declarations, repeated, table, writePage} from './catalogue.mjs';

const TYPES = ['counter', 'gauge', 'histogram'];

const isMetric = entry =>
  TYPES.includes(entry?.type) && typeof entry.help === 'string';
const metrics = await declarations('metrics.ts', isMetric);
const twice = repeated(metrics.map(metric => metric.name));
if (twice.length > 0) {
  console.error(`metric names used twice: ${twice.join(', ')}`);
  process.exit(1);
}
metrics.sort((a, b) => (a.name < b.name ? -1 : 1));
const rows = metrics.map(({name, type, labels, help}) => [
  `\`${name}\``,
  type,
  labels.join(', '),
  help,
]);
const text = `# Metrics

A daemon offers its metrics in the Prometheus text format on its control
address. Every label takes its values from the configuration or from a fixed
list, never from a caller, so the number of series is bounded.

${table(['Name', 'Type', 'Labels', 'Meaning'], rows)}
`;
process.exit(await writePage('docs/METRICS.md', text, process.argv));
