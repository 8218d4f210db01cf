import test from 'ava';
import {RELAY_EVENTS} from '../../src/relay/index.js';
import {SIDECAR_EVENTS} from '../../src/sidecar/index.js';
import type {EventFields, EventKind} from '../../src/telemetry/index.js';
import {
  sendRequest,
  configurationWithMovedRoute,
  startFleet,
  waitUntil,
  type TestFleet,
} from './fixture.js';

/** One log line. */
interface LogLine {
  readonly kind: EventKind;
  readonly fields: EventFields;
}

/** Returns the log lines of all daemons about a request. */
function linesOf(fleet: TestFleet, request: string): readonly LogLine[] {
  return fleet.pairs.flatMap(({events}) =>
    events
      .filter(([, fields]) => fields.request === request)
      .map(([kind, fields]) => ({kind, fields})),
  );
}

const findLine = (lines: readonly LogLine[], kind: EventKind) =>
  lines.find(line => line.kind === kind)?.fields;

test('the log states why a request was refused under load', async t => {
  const fleet = await startFleet(['desk', 'desk'], {workMs: 200});
  t.teardown(fleet.close);
  const [a] = fleet.pairs;
  const answers = await Promise.all(
    Array.from({length: 120}, () => sendRequest(a.callers, 'POST', '/book/x')),
  );
  const refused = answers.filter(({status}) => status === 503);
  t.true(refused.length > 0);
  for (const {id, retryAfter} of refused) {
    const lines = linesOf(fleet, id);
    const failed = findLine(lines, RELAY_EVENTS.failed);
    t.is(failed?.outcome, 'not-run');
    t.is(failed?.reason, 'overloaded');
    const headerMs = Number(retryAfter) * 1000;
    t.true(Math.abs(Number(failed?.retryAfterMs) - headerMs) <= 1);
    // The daemon of the instance logs the same reason, unless it is this one.
    const there = findLine(lines, RELAY_EVENTS.ran);
    t.true(!there || there.reason === 'overloaded');
  }
});

test('the log states the outcome of a request whose instance reset the connection', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [stock, desk] = fleet.pairs;
  for (const {instance} of fleet.pairs) {
    let spoiled = false;
    instance.replaceAnswer = response => {
      if (spoiled) return false;
      spoiled = true;
      response.socket?.resetAndDestroy();
      return true;
    };
  }
  const once = await sendRequest(stock.callers, 'POST', '/book/x');
  t.is(once.status, 502);
  const failed = findLine(linesOf(fleet, once.id), RELAY_EVENTS.failed);
  t.is(failed?.outcome, 'unknown');
  t.is(failed?.reason, 'upstream-reset');
  const again = await sendRequest(desk.callers, 'GET', '/view/x', 7);
  t.is(again.status, 200);
  const retried = findLine(linesOf(fleet, again.id), RELAY_EVENTS.retried);
  t.is(retried?.reason, 'upstream-reset');
});

test('the log states which configuration version routed a request', async t => {
  const fleet = await startFleet(['desk']);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  fleet.store.write('config', 'main', configurationWithMovedRoute(5));
  const findApplied = () =>
    pair.events.find(
      ([kind, {version}]) =>
        kind === SIDECAR_EVENTS.configurationApplied && version === 5,
    );
  await waitUntil(() => findApplied() !== undefined);
  const {id, status} = await sendRequest(pair.callers, 'POST', '/book/x');
  t.is(status, 404);
  const failed = findLine(linesOf(fleet, id), RELAY_EVENTS.failed);
  t.is(failed?.reason, 'no-service');
  t.is(failed?.version, 5);
});

test('the log states the durations of a forwarded upload', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [{callers}] = fleet.pairs;
  const body = Buffer.alloc(60_000);
  const {id, status} = await sendRequest(
    callers,
    'POST',
    '/book/x',
    undefined,
    body,
  );
  t.is(status, 200);
  const lines = linesOf(fleet, id);
  for (const kind of [RELAY_EVENTS.served, RELAY_EVENTS.ran]) {
    t.is(findLine(lines, kind)?.bodyBytes, body.length);
    t.true((findLine(lines, kind)?.bodyMs as number) >= 0);
  }
  t.true((findLine(lines, RELAY_EVENTS.ran)?.runMs as number) >= 15);
});
