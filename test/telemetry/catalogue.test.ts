import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import test from 'ava';
import type {EventKind, MetricDefinition} from '../../src/telemetry/index.js';

async function constantsOf<T>(fileName: string): Promise<readonly T[]> {
  const paths = readdirSync('build/src', {recursive: true, encoding: 'utf8'});
  const found: T[] = [];
  for (const path of paths.filter(path => path.endsWith(`/${fileName}`))) {
    const source = `src/${path.replace(/\.js$/, '.ts')}`;
    if (!existsSync(source)) continue;
    const exported = (await import(`../../src/${path}`)) as object;
    const constants = Object.values(exported) as readonly object[];
    const tables = constants.filter(value => typeof value === 'object');
    found.push(...tables.flatMap(value => Object.values(value) as T[]));
  }
  return found;
}

function distinct(values: readonly unknown[]): boolean {
  return new Set(values).size === values.length;
}

test('event numbers are unique and each is documented', async t => {
  const events = (await constantsOf<EventKind>('events.js')).filter(
    event => typeof event.number === 'number',
  );
  const page = readFileSync('docs/EVENTS.md', 'utf8');
  t.true(distinct(events.map(event => event.number)));
  for (const {number} of events) t.regex(page, new RegExp(`\\| ${number} `));
});

test('metric names are unique and each is documented', async t => {
  const metrics = (await constantsOf<MetricDefinition>('metrics.js')).filter(
    metric => typeof metric.help === 'string',
  );
  const page = readFileSync('docs/METRICS.md', 'utf8');
  t.true(metrics.length > 0);
  t.true(distinct(metrics.map(metric => metric.name)));
  for (const {name} of metrics) t.true(page.includes(`\`${name}\``), name);
});

for (const tool of ['events', 'metrics']) {
  test(`the page of ${tool} is current`, t => {
    const run = spawnSync('node', [`tools/${tool}.mjs`, '--check'], {
      encoding: 'utf8',
    });
    t.is(run.status, 0, run.stderr);
  });
}
