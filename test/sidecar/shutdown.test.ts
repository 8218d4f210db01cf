import test from 'ava';
import type {Claim, Grant, Slots} from '../../src/relay/index.js';
import {createSlots} from '../../src/relay/index.js';
import {createRunTimes} from '../../src/sidecar/runtimes.js';
import {
  createSlotGate,
  mayStartBeforeShutdown,
  planShutdown,
} from '../../src/sidecar/shutdown.js';

const GRACE_MS = 6000;

const PLAN = planShutdown(0, GRACE_MS);

/** Time reserved before the end if nothing is known of a route. */
const RESERVE_MS = 1600;

/** A deadline after the end of the daemon. */
const LATE_MS = 2 * GRACE_MS;

/** Returns run times of which all quantiles are the same. */
const runsOf = (ms?: number) => ({quantileMs: () => ms});

/** Returns whether a request may start that could last longer than the daemon. */
const mayStart = (now: number, runMs?: number) =>
  mayStartBeforeShutdown(
    PLAN,
    {kind: 'book', deadlineAt: LATE_MS},
    runsOf(runMs),
    now,
  );

test('without recent runs the same time is reserved for each route', t => {
  t.true(mayStart(PLAN.endsAt - RESERVE_MS - 1));
  t.false(mayStart(PLAN.endsAt - RESERVE_MS));
});

test('the time reserved is longer for a route with longer runs', t => {
  t.true(mayStart(PLAN.endsAt - 2600, 2400));
  t.false(mayStart(PLAN.endsAt - 2400, 2400));
});

test('the time reserved is not shorter for a route with short runs', t => {
  t.true(mayStart(PLAN.endsAt - RESERVE_MS - 1, 20));
  t.false(mayStart(PLAN.endsAt - RESERVE_MS, 20));
});

test('a request that times out before the end may start, however long the runs are', t => {
  const now = PLAN.endsAt - 1000;
  const claim = {kind: 'book', deadlineAt: now + 500};
  t.true(mayStartBeforeShutdown(PLAN, claim, runsOf(5000), now));
});

test('while callers still send requests, a route with few long runs is served', t => {
  let now = 0;
  const runTimes = createRunTimes(() => now);
  for (let i = 0; i < 100; i++) runTimes.record('book', i < 98 ? 400 : 4000);
  const claim = {kind: 'book', deadlineAt: LATE_MS};
  now = PLAN.refuseNewFrom - 1;
  t.true(mayStartBeforeShutdown(PLAN, claim, runTimes, now));
  now = PLAN.refuseNewFrom;
  t.false(mayStartBeforeShutdown(PLAN, claim, runTimes, now));
});

const CLAIM: Claim = {
  kind: 'book',
  priority: 1,
  objectiveAt: LATE_MS,
  deadlineAt: LATE_MS,
};

/** Claims a slot with a signal that never aborts. */
const acquire = (slots: Slots, claim = CLAIM) =>
  slots.acquire(claim, () => new AbortController().signal);

/** Returns gated slots of which the only one is taken. */
async function startBusySlots() {
  const gate = createSlotGate(200);
  const slots = gate.wrap(createSlots({slots: 1, clock: () => 0}));
  const first = (await acquire(slots)) as Extract<Grant, {kind: 'granted'}>;
  return {gate, slots, first};
}

test('a slot that becomes free goes to no request that is refused by then', async t => {
  const {gate, slots, first} = await startBusySlots();
  const refusedKinds = new Set<string>();
  gate.refuseFromNow(({kind}) => refusedKinds.has(kind));
  const waiting = [acquire(slots), acquire(slots, {...CLAIM, kind: 'view'})];
  refusedKinds.add('book');
  first.release(true);
  const [refused, granted] = await Promise.all(waiting);
  t.deepEqual(refused, {kind: 'denied', reason: 'draining', retryAfterMs: 200});
  t.is(granted.kind, 'granted');
});

test('a request that waits is refused as soon as the predicate selects it', async t => {
  const {gate, slots} = await startBusySlots();
  const waiting = acquire(slots);
  gate.refuseFromNow(() => true);
  const {kind} = await waiting;
  t.is(kind, 'denied');
  t.is(slots.state().waiting.length, 0);
});
