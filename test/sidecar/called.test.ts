import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {startMoves, findTerm, type RangeMap} from '../../src/ranges/index.js';
import {SIDECAR_EVENTS} from '../../src/sidecar/index.js';
import type {KeyCall} from '../../standin/fleet/index.js';
import {
  sendRequest,
  startFleet,
  waitUntil,
  type Pair,
  type TestFleet,
} from './fixture.js';

const KEY = 10;
const MOVED = {from: 0, to: 99};

const mapOf = ({store}: TestFleet) =>
  store.read('fleet', 'ranges.stock') as RangeMap;

/** Starts a fleet of two holders whose keys are granted by call. */
async function startFleetGrantedByCall() {
  const fleet = await startFleet(['stock', 'stock', 'desk'], {grants: 'call'});
  const [a, b, entry] = fleet.pairs;
  const holderNode = () => findTerm(mapOf(fleet), KEY)?.holder.node;
  const [from, to] = holderNode() === a.node ? [a, b] : [b, a];
  /** Writes to the range map that the keys around `KEY` are to move. */
  const move = () => {
    const next = to.sidecar.instanceManager.incarnation();
    const moves = next ? [{...MOVED, holder: next}] : [];
    const map = startMoves(mapOf(fleet), moves);
    fleet.store.write('fleet', 'ranges.stock', map);
  };
  return {fleet, from, to, entry, move, holderNode};
}

const holdsKey = ({instance}: Pair) =>
  instance.holds().some(([from, to]) => from <= KEY && KEY <= to);

/**
 * Polls two instances; the returned function stops and returns whether both
 * held the key at once.
 */
function detectDoubleHold(a: Pair, b: Pair) {
  let hasDoubleHold = false;
  const timer = setInterval(() => {
    hasDoubleHold ||= holdsKey(a) && holdsKey(b);
  }, 1);
  return () => {
    clearInterval(timer);
    return hasDoubleHold;
  };
}

test('keys move with the handover token of their release, once requests for them have ended', async t => {
  const {fleet, from, to, entry, move} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  from.instance.releaseDelayMs = 300;
  const isBoth = detectDoubleHold(from, to);
  move();
  await waitUntil(() => holdsKey(to));
  t.false(isBoth());
  const released = from.instance.calls.find(({kind}) => kind === 'release');
  t.like(released, MOVED);
  const granted = to.instance.calls.findLast(
    ({kind, from: first}) => kind === 'grant' && first === MOVED.from,
  );
  t.is(
    granted?.handover,
    `token-i-stock-${from === fleet.pairs[0] ? 0 : 1}-${released?.fence}`,
  );
  t.true((granted?.fence ?? 0) > (released?.fence ?? 0));
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
});

test('an unanswered grant that takes effect after the release gives no key two holders', async t => {
  const {fleet, from, to, move, holderNode} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  const isGrant = ({kind, from: first}: KeyCall) =>
    kind === 'grant' && first <= KEY;
  let lateCount = 0;
  from.instance.lateMs = 700;
  from.instance.chooseCallFault = call => {
    if (!isGrant(call) || lateCount > 0) return 'none';
    lateCount += 1;
    return 'late';
  };
  await waitUntil(() => lateCount > 0);
  const isBoth = detectDoubleHold(from, to);
  move();
  await waitUntil(() => holderNode() === to.node && holdsKey(to));
  await sleep(800);
  t.false(isBoth());
});

test('keys move although the response to their release is lost', async t => {
  const {fleet, from, to, entry, move} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  let lostCount = 0;
  from.instance.chooseCallFault = ({kind}) =>
    kind === 'release' && lostCount++ === 0 ? 'lost' : 'none';
  move();
  await waitUntil(() => holdsKey(to));
  t.is(lostCount, 2);
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
});

test('an endless response to a grant call costs neither memory nor the keys', async t => {
  const {fleet, from, entry} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  let endlessCount = 0;
  from.instance.chooseCallFault = ({kind}) =>
    kind === 'grant' && endlessCount++ === 0 ? 'endless' : 'none';
  await waitUntil(() => endlessCount > 1);
  const failures = from.events.filter(
    ([kind]) => kind === SIDECAR_EVENTS.grantFailed,
  );
  t.is(failures.length, 1);
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
});

test('keys that an instance does not hold any more are granted again at once', async t => {
  const {fleet, from, entry} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
  from.instance.dropKeys();
  const {status} = await sendRequest(entry.callers, 'GET', '/view/x', KEY);
  t.is(status, 200);
});

test('an instance that leaves without notice releases its keys by call', async t => {
  const {fleet, from, to} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  const isBoth = detectDoubleHold(from, to);
  t.is(await from.instance.sendDeparture(), 200);
  // Well before its lease would have expired.
  const leftAt = Date.now();
  await waitUntil(() => holdsKey(to));
  t.true(Date.now() - leftAt < 1500);
  t.false(isBoth());
});

test('an instance whose heartbeats are lost keeps its keys while it answers calls', async t => {
  const {fleet, from, entry} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  from.instance.stopHeartbeats();
  await sleep(1500);
  t.false(from.sidecar.instanceManager.isSilent());
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
});
