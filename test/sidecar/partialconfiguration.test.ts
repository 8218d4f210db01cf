import test from 'ava';
import {SIDECAR_EVENTS} from '../../src/sidecar/index.js';
import {
  sendRequest,
  configuration,
  startFleet,
  waitUntil,
  type Pair,
} from './fixture.js';

/** Returns a configuration with one value of its routes replaced. */
function configurationWithValue(
  version: number,
  index: number,
  column: number,
  value: unknown,
): unknown {
  const whole = configuration(version) as {routes: {rows: unknown[][]}};
  whole.routes.rows[index][column] = value;
  return whole;
}

const HOST = 1;
const KIND = 3;
const SERVICE = 7;

function hasApplied({events}: Pair, version: number): boolean {
  return events.some(
    ([kind, fields]) =>
      kind === SIDECAR_EVENTS.configurationApplied &&
      fields.version === version,
  );
}

test('a kind of request that is not known stops no daemon', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  fleet.store.write(
    'config',
    'main',
    configurationWithValue(2, 0, KIND, 'stream'),
  );
  await waitUntil(() => hasApplied(pair, 2));
  t.is((await sendRequest(pair.callers, 'GET', '/view/x', 5)).status, 200);
  t.is((await sendRequest(pair.callers, 'POST', '/book/x')).status, 200);
  const logged = pair.events.find(
    ([kind]) => kind === SIDECAR_EVENTS.configurationPartial,
  );
  t.regex(String(logged?.[1].findings), /routes\.rows\[0\]\.kind/);
});

test('a route without a readable service is refused for now, the others are served', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  fleet.store.write('config', 'main', configurationWithValue(2, 1, SERVICE, 7));
  await waitUntil(() => hasApplied(pair, 2));
  t.is((await sendRequest(pair.callers, 'POST', '/book/x')).status, 503);
  t.is((await sendRequest(pair.callers, 'GET', '/none/x')).status, 404);
  t.is((await sendRequest(pair.callers, 'GET', '/view/x', 5)).status, 200);
});

test('no path is said to have no route while a route can not be told', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  fleet.store.write('config', 'main', configurationWithValue(2, 1, HOST, null));
  await waitUntil(() => hasApplied(pair, 2));
  t.is((await sendRequest(pair.callers, 'POST', '/book/x')).status, 503);
  t.is((await sendRequest(pair.callers, 'GET', '/view/x', 5)).status, 200);
});
