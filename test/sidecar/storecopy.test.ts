import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {findTerm, startMoves, type RangeMap} from '../../src/ranges/index.js';
import type {StoreCopy} from '../../standin/fleet/index.js';
import {GRANT_METHODS, SIDECAR_EVENTS} from '../../src/sidecar/index.js';
import {
  configuration,
  sendRequest,
  startFleet,
  waitUntil,
  type Pair,
  type TestFleet,
} from './fixture.js';

const KEY = 10;
const MOVED = {from: 0, to: 99};

/** Time for which a fleet is observed, above several leases of 2 s. */
const OBSERVED_MS = 8000;
const SAMPLE_MS = 20;

/** Longest time for which two instances may hold a key. */
const MAX_SHARED_MS = 500;

/** Time within which a key with a known holder is served again. */
const MAX_UNSERVED_MS = 1000;

const mapOf = ({store}: TestFleet) =>
  store.read('fleet', 'ranges.stock') as RangeMap;

const fenceAt = ({instance}: Pair) =>
  instance.holds().find(([from, to]) => from <= KEY && KEY <= to)?.[2];

/** Moves the keys around `KEY`, and returns the copy of the store before that. */
async function moveAfterCopy(fleet: TestFleet) {
  const [a, b] = fleet.pairs;
  const holder = findTerm(mapOf(fleet), KEY)?.holder.node;
  const [from, to] = holder === a.node ? [a, b] : [b, a];
  const copy = fleet.store.takeCopy();
  const next = to.sidecar.instanceManager.incarnation();
  if (!next) throw new Error('the instance is not known');
  const moves = [{...MOVED, holder: next}];
  fleet.store.write('fleet', 'ranges.stock', startMoves(mapOf(fleet), moves));
  await waitUntil(() => fenceAt(to) !== undefined);
  return {copy, from, to};
}

/** Samples which instance holds `KEY`, under which token, and for how long. */
async function observeHolders(pairs: readonly Pair[]) {
  const taken: {readonly node: string; readonly fence: number}[] = [];
  let sharedMs = 0;
  let longestSharedMs = 0;
  const until = Date.now() + OBSERVED_MS;
  while (Date.now() < until) {
    const holders = pairs.flatMap(pair => {
      const fence = fenceAt(pair);
      return fence === undefined ? [] : [{node: pair.node, fence}];
    });
    sharedMs = holders.length > 1 ? sharedMs + SAMPLE_MS : 0;
    longestSharedMs = Math.max(longestSharedMs, sharedMs);
    for (const {node, fence} of holders) {
      const last = taken.filter(other => other.node === node).at(-1);
      if (last?.fence !== fence) taken.push({node, fence});
    }
    await sleep(SAMPLE_MS);
  }
  return {taken, longestSharedMs};
}

/** Sends requests for `KEY`; returns the longest time without a served one. */
async function observeService({callers}: Pair) {
  let servedAt = Date.now();
  let longestMs = 0;
  const until = servedAt + OBSERVED_MS;
  while (Date.now() < until) {
    const {status} = await sendRequest(callers, 'GET', '/view/x', KEY);
    if (status === 200) {
      longestMs = Math.max(longestMs, Date.now() - servedAt);
      servedAt = Date.now();
    }
    await sleep(SAMPLE_MS);
  }
  return Math.max(longestMs, Date.now() - servedAt);
}

const stateOf = ({store}: TestFleet, {node}: Pair) =>
  (store.read('fleet', `member.${node}`) as {readonly state: string}).state;

/** Lets the instance leave, and returns the copy of the store before that. */
async function leaveAfterCopy(fleet: TestFleet, leaving: Pair) {
  const copy = fleet.store.takeCopy();
  await leaving.instance.sendDeparture();
  await waitUntil(() => stateOf(fleet, leaving) === 'left');
  await sleep(1000);
  return copy;
}

/** Time within which a daemon that has stopped makes its last calls. */
const LAST_CALLS_MS = 1000;

/** Restarts a daemon while the store is away and comes back from a copy. */
async function restartWithStore(
  {store}: TestFleet,
  pair: Pair,
  copy: StoreCopy,
) {
  const {faults} = store;
  faults.isUnavailable = true;
  const startsBefore = startsOf(pair);
  const restarted = pair.restart();
  await waitUntil(() => startsOf(pair) > startsBefore);
  await sleep(LAST_CALLS_MS);
  store.restore(copy);
  faults.isUnavailable = false;
  await restarted;
}

const startsOf = ({events}: Pair) =>
  events.filter(([kind]) => kind === SIDECAR_EVENTS.started).length;

for (const grants of GRANT_METHODS) {
  // Guards against keys that are granted again, under old tokens, to whom the copy
  // of the store names (OWNER).
  test(`keys that moved stay with their holder after the store came back from a copy, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'stock', 'desk'], {grants});
    t.teardown(fleet.close);
    const {copy, to} = await moveAfterCopy(fleet);
    const fence = fenceAt(to) ?? NaN;
    fleet.store.restore(copy);
    // The revisions that are given out again pass those that were known.
    let version = 1;
    const writing = setInterval(
      () => fleet.store.write('config', 'main', configuration(++version)),
      200,
    );
    t.teardown(() => clearInterval(writing));
    const [{taken, longestSharedMs}, unservedMs] = await Promise.all([
      observeHolders(fleet.pairs.slice(0, 2)),
      observeService(fleet.pairs[2]),
    ]);
    t.true(longestSharedMs <= MAX_SHARED_MS, `${longestSharedMs} ms`);
    t.deepEqual(new Set(taken.map(({node}) => node)), new Set([to.node]));
    t.is(taken[0].fence, fence);
    t.true(unservedMs <= MAX_UNSERVED_MS, `${unservedMs} ms`);
    t.is(findTerm(mapOf(fleet), KEY)?.holder.node, to.node);
    const kinds = fleet.pairs.flatMap(({events}) => events.map(([k]) => k));
    t.true(kinds.includes(SIDECAR_EVENTS.mapSettled));
  });

  // Guards against keys that the copy gives to an instance which lost them, when
  // no daemon remembers their holder (OWNER).
  test(`keys rest for a lease if all daemons forget their holder with the store, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'stock', 'desk'], {grants});
    t.teardown(fleet.close);
    const {copy, to} = await moveAfterCopy(fleet);
    const fence = fenceAt(to) ?? NaN;
    fleet.store.restore(copy);
    const observed = observeHolders(fleet.pairs.slice(0, 2));
    await Promise.all(fleet.pairs.map(pair => pair.restart()));
    const {taken, longestSharedMs} = await observed;
    t.true(longestSharedMs <= MAX_SHARED_MS, `${longestSharedMs} ms`);
    const others = taken.filter(({node}) => node !== to.node);
    t.true(others.every(other => other.fence > fence));
    await waitUntil(() => fleet.pairs.slice(0, 2).some(p => fenceAt(p)));
  });

  // Guards against an instance that left and is sent requests again (DRAIN).
  test(`a departure outlasts the return of the store from a copy, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'stock', 'desk'], {grants});
    t.teardown(fleet.close);
    const [leaving, , entry] = fleet.pairs;
    const copy = await leaveAfterCopy(fleet, leaving);
    const runs = leaving.instance.runs.length;
    fleet.store.restore(copy);
    for (let key = 0; key < 65_000; key += 1000) {
      await sendRequest(entry.callers, 'GET', '/view/x', key);
    }
    await waitUntil(() => stateOf(fleet, leaving) === 'left');
    t.is(leaving.instance.runs.length, runs);
  });

  // Guards against a daemon that begins with the copy, in which an instance is
  // ready whose departure it has acknowledged (DRAIN).
  test(`a departure outlasts a restart of its daemon with the store, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'stock', 'desk'], {grants});
    t.teardown(fleet.close);
    const [leaving] = fleet.pairs;
    const copy = await leaveAfterCopy(fleet, leaving);
    const runs = leaving.instance.runs.length;
    await restartWithStore(fleet, leaving, copy);
    for (let key = 0; key < 65_000; key += 1000) {
      await sendRequest(leaving.callers, 'GET', '/view/x', key);
    }
    t.is(leaving.instance.runs.length, runs);
    await waitUntil(() => stateOf(fleet, leaving) === 'left');
  });
}

// The same for an instance without keys.
test('a departure without keys outlasts a restart of its daemon with the store', async t => {
  const fleet = await startFleet(['desk', 'desk', 'stock']);
  t.teardown(fleet.close);
  const [leaving] = fleet.pairs;
  const copy = await leaveAfterCopy(fleet, leaving);
  const runs = leaving.instance.runs.length;
  await restartWithStore(fleet, leaving, copy);
  for (let sent = 0; sent < 50; sent++) {
    await sendRequest(leaving.callers, 'POST', '/book/x');
  }
  t.is(leaving.instance.runs.length, runs);
  await waitUntil(() => stateOf(fleet, leaving) === 'left');
});

/** Returns the value of a metric without labels. */
async function valueOf(pair: Pair, name: string): Promise<number> {
  const text = await pair.metrics();
  return Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1]);
}

test('the metrics tell the era, how often it rose, and the maps in recovery', async t => {
  const fleet = await startFleet(['stock', 'stock', 'desk']);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  const read = () =>
    Promise.all(
      ['era', 'restores_total'].map(n =>
        valueOf(pair, `vanillaspool_store_${n}`),
      ),
    );
  const recovering = () => valueOf(pair, 'vanillaspool_recovering_maps');
  t.deepEqual(await read(), [1, 0]);
  t.is(await recovering(), 0);
  const {copy} = await moveAfterCopy(fleet);
  for (const rises of [1, 2]) {
    fleet.store.restore(copy);
    await waitUntil(() => mapOf(fleet).era === 1 + rises);
    await waitUntil(() => restoresOf(pair) === rises);
    t.deepEqual(await read(), [1 + rises, rises]);
  }
  t.is(await recovering(), 1);
  await waitUntil(() => mapOf(fleet).isRecovering === undefined);
  await sleep(SETTLED_SEEN_MS);
  t.is(await recovering(), 0);
});

/** Time within which each daemon sees a change of the store. */
const SETTLED_SEEN_MS = 1000;

const restoresOf = ({events}: Pair) =>
  events.filter(([kind]) => kind === SIDECAR_EVENTS.storeRestored).length;
