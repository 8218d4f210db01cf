import test from 'ava';
import fc from 'fast-check';
import {readConfiguration} from '../../platform/configuration.js';
import {createRouteTable, findRoute} from '../../src/relay/index.js';

const ROUTES = ['view', 'book', 'maps'] as const;

type Table = {columns: unknown[]; rows: unknown[][]};
type Wire = Record<string, unknown> & {routes: Table; services: Table};

/** Creates a configuration with three routes to two services. */
function createWireConfiguration(): Wire {
  return {
    version: 7,
    routes: {
      columns: [
        'name',
        'host',
        'path_prefix',
        'kind',
        'timeout_s',
        'target_latency_s',
        'priority',
        'traffic_split',
        'max_attempts',
        'service',
      ],
      rows: [
        row('view', 'idempotent', 'stock'),
        row('book', 'non_idempotent', 'desk'),
        row('maps', 'download', 'desk'),
      ],
    },
    services: {
      columns: ['name', 'max_connections', 'sharded', 'warmup_s', 'grants'],
      rows: [
        ['stock', 110, true, 2, 'rpc'],
        ['desk', 110, null, null, null],
      ],
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  };
}

function row(name: string, kind: string, service: string): unknown[] {
  const split = [{service, weight: 1}];
  return [
    name,
    'a.example',
    `/${name}/`,
    kind,
    1.2,
    0.4,
    2,
    name === 'book' ? split : null,
    2,
    name === 'book' ? null : service,
  ];
}

/** Reads a configuration; throws if no part of it is valid. */
function read(changed: unknown) {
  const {configuration, findings} = readConfiguration(JSON.stringify(changed));
  if (!configuration) throw new Error(findings.join('; '));
  const table = createRouteTable(configuration.routes);
  const find = (name: string) => findRoute(table, 'a.example', `/${name}/x`);
  return {configuration, findings, find};
}

test('a valid configuration has no findings', t => {
  const {configuration, findings, find} = read(createWireConfiguration());
  t.deepEqual(findings, []);
  t.false(configuration.isPartial);
  t.is(find('view')?.repetition, 'idempotent');
  t.is(find('book')?.repetition, 'once');
  t.is(find('maps')?.repetition, 'idempotent');
});

test('a request of an unknown kind runs at most once', t => {
  const changed = createWireConfiguration();
  changed.routes.rows[0][3] = 'stream';
  const {findings, find} = read(changed);
  t.is(find('view')?.repetition, 'once');
  t.is(find('view')?.parts.length, 1);
  t.regex(findings.join(), /routes\.rows\[0\]\.kind: "stream"/);
});

test('an unknown column and an unknown field are ignored', t => {
  const changed = {...createWireConfiguration(), colour: 'red'};
  changed.routes.columns.push('region');
  changed.routes.rows.forEach(values => values.push('north'));
  t.deepEqual(read(changed).findings, []);
});

test('a route with an invalid host is skipped and makes the configuration partial', t => {
  const changed = createWireConfiguration();
  changed.routes.rows[1][1] = 5;
  const {configuration, find} = read(changed);
  t.true(configuration.isPartial);
  t.is(find('book'), undefined);
  t.is(find('view')?.parts[0].service, 'stock');
});

test('a route to a service with an invalid field has no parts', t => {
  const changed = createWireConfiguration();
  changed.services.rows[0][2] = 'yes';
  const {find, findings} = read(changed);
  t.is(find('view')?.parts.length, 0);
  t.is(find('maps')?.parts.length, 1);
  t.regex(findings[0], /^services\.rows\[0\]\.sharded/);
});

const anything = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom(null, -1, 0, 1e300, '', 'x', [], {}, [[]], true, false),
);

test('replacing any value of a route leaves the other routes unchanged', t => {
  const whole = read(createWireConfiguration());
  fc.assert(
    fc.property(
      fc.nat(ROUTES.length - 1),
      fc.nat(createWireConfiguration().routes.columns.length - 1),
      anything,
      (index, column, value) => {
        const changed = createWireConfiguration();
        changed.routes.rows[index][column] = value;
        const {find} = read(changed);
        for (const name of ROUTES.filter(other => other !== ROUTES[index])) {
          // The changed route may now match the same paths.
          if (find(name)?.name === whole.find(name)?.name) {
            t.deepEqual(find(name), whole.find(name));
          }
        }
      },
    ),
    {numRuns: 2000, seed: 18},
  );
});

test('replacing any value of a service or the limits leaves other routes unchanged', t => {
  const whole = read(createWireConfiguration());
  fc.assert(
    fc.property(fc.nat(4), anything, (column, value) => {
      const changed = createWireConfiguration();
      changed.services.rows[0][column] = value;
      if (value !== 'desk') {
        t.deepEqual(read(changed).find('maps'), whole.find('maps'));
      }
    }),
    {numRuns: 1000, seed: 18},
  );
  fc.assert(
    fc.property(anything, value => {
      const {configuration} = read({
        ...createWireConfiguration(),
        limits: value,
      });
      t.true(Object.values(configuration.limits).every(limit => limit > 0));
    }),
    {numRuns: 500, seed: 18},
  );
});

test('arbitrary text is read without an exception', t => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), text => {
      const {configuration, findings} = readConfiguration(text);
      t.true(configuration !== undefined || findings.length > 0);
    }),
    {numRuns: 1000, seed: 18},
  );
});
