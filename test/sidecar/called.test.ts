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

/** A fleet of two holders whose keys are granted by call. */
async function startFleetGrantedByCall() {
  const fleet = await startFleet(['stock', 'stock', 'desk'], {grants: 'call'});
  const [a, b, entry] = fleet.pairs;
  const holderNode = () => findTerm(mapOf(fleet), KEY)?.holder.node;
  const [from, to] = holderNode() === a.node ? [a, b] : [b, a];
  /** Lets the planner's record say that the keys around `KEY` are to move. */
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

/** Watches two instances; tells whether both held the key at once. */
function detectDoubleHold(a: Pair, b: Pair) {
  let both = false;
  const timer = setInterval(() => {
    both ||= holdsKey(a) && holdsKey(b);
  }, 1);
  return () => {
    clearInterval(timer);
    return both;
  };
}

test('keys move with the token of their release, once work on them has ended', async t => {
  const {fleet, from, to, entry, move} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  from.instance.lettingGoMs = 300;
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

test('a grant without an answer that is carried out after the release gives no key twice', async t => {
  const {fleet, from, to, move, holderNode} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  const isGrant = ({kind, from: first}: KeyCall) =>
    kind === 'grant' && first <= KEY;
  let late = 0;
  from.instance.lateMs = 700;
  from.instance.callFault = call => {
    if (!isGrant(call) || late > 0) return 'none';
    late += 1;
    return 'late';
  };
  await waitUntil(() => late > 0);
  const isBoth = detectDoubleHold(from, to);
  move();
  await waitUntil(() => holderNode() === to.node && holdsKey(to));
  await sleep(800);
  t.false(isBoth());
});

test('keys move although the answer to their release is lost', async t => {
  const {fleet, from, to, entry, move} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  let lost = 0;
  from.instance.callFault = ({kind}) =>
    kind === 'release' && lost++ === 0 ? 'lost' : 'none';
  move();
  await waitUntil(() => holdsKey(to));
  t.is(lost, 2);
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
});

test('an answer without end to a call for keys costs neither memory nor the keys', async t => {
  const {fleet, from, entry} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  let endless = 0;
  from.instance.callFault = ({kind}) =>
    kind === 'grant' && endless++ === 0 ? 'endless' : 'none';
  await waitUntil(() => endless > 1);
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
  from.instance.forget();
  const {status} = await sendRequest(entry.callers, 'GET', '/view/x', KEY);
  t.is(status, 200);
});

test('an instance that leaves without a word before gives its keys back by call', async t => {
  const {fleet, from, to} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  const isBoth = detectDoubleHold(from, to);
  t.is(await from.instance.leave(), 200);
  // Well before its hold would have run out.
  const leftAt = Date.now();
  await waitUntil(() => holdsKey(to));
  t.true(Date.now() - leftAt < 1500);
  t.false(isBoth());
});

test('an instance whose heartbeats are lost keeps the keys that it answers for', async t => {
  const {fleet, from, entry} = await startFleetGrantedByCall();
  t.teardown(fleet.close);
  from.instance.mute();
  await sleep(1500);
  t.false(from.sidecar.instanceManager.isSilent());
  t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
});
