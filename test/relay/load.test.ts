import test from 'ava';
import {
  cautiousMs,
  createAdmission,
  spreadMs,
} from '../../src/admission/index.js';
import {admissionDeadline, rank, type Route} from '../../src/relay/index.js';
import {createRandom} from '../../src/load/random.js';

const ROUTE: Route = {
  name: 'book',
  host: 'a.example',
  prefix: '/book/',
  repetition: 'once',
  timeoutMs: 1500,
  objectiveMs: 500,
  maxAttempts: 2,
  priority: 1,
  parts: [{service: 'desk', weight: 1}],
};
const LOOK_UP: Route = {
  ...ROUTE,
  name: 'look-up',
  timeoutMs: 400,
  objectiveMs: 120,
};

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Admission to 12 slots in virtual time. */
function createVirtual() {
  let now = 0;
  let timers: Timer[] = [];
  const after = (delayMs: number, run: () => void) => {
    const timer = {at: now + delayMs, run};
    timers.push(timer);
    return () => (timers = timers.filter(other => other !== timer));
  };
  const admission = createAdmission({
    slots: 12,
    queue: 144,
    clock: () => now,
    schedule: after,
  });
  const advance = (timeMs: number) => {
    now += timeMs;
    const due = timers.filter(timer => timer.at <= now);
    timers = timers.filter(timer => timer.at > now);
    due.forEach(timer => timer.run());
  };
  return {admission, after, advance, now: () => now};
}

/** Plays an overload of one instance in virtual time and counts what is served. */
async function play(ranks: typeof rank): Promise<Map<string, number>> {
  const {admission, after, advance, now} = createVirtual();
  const served = new Map<string, number>();
  const arrive = async (route: Route, workMs: number, id: number) => {
    const deadlineAt = now() + route.timeoutMs;
    const isShort = route === LOOK_UP;
    const urgency = ranks(route, isShort, now(), deadlineAt);
    const ask = (priority: number, until: number) =>
      admission.admit({
        service: route.name,
        priority,
        deadlineAt: until,
        caller: String(id),
      });
    let result = await ask(urgency.priority, urgency.objectiveAt);
    if (result.kind === 'refused' && urgency.objectiveAt < deadlineAt) {
      result = await ask(urgency.priority + 100, deadlineAt);
    }
    if (result.kind === 'refused') return;
    const {release} = result;
    const run = () => {
      release('ran');
      if (now() > deadlineAt) return;
      served.set(route.name, (served.get(route.name) ?? 0) + 1);
    };
    after(workMs, run);
  };
  for (let id = 0; now() < 20_000; id++) {
    advance(5);
    if (id % 4 === 0) void arrive(ROUTE, 220, id);
    if (id % 2 === 0) void arrive(LOOK_UP, 40, 100_000 + id);
    for (let turn = 0; turn < 6; turn++) await Promise.resolve();
  }
  return served;
}

/** Every request counts in full up to its objective, whatever it is. */
const byObjective: typeof rank = (route, _, startedAt) => ({
  priority: route.priority,
  objectiveAt: startedAt + route.objectiveMs,
});

test('an overload costs no look-ups of requests that run elsewhere', async t => {
  const asked = 20_000 / 10;
  const ranked = await play(rank);
  const before = await play(byObjective);
  t.true((ranked.get('look-up') ?? 0) >= asked * 0.99);
  t.true((ranked.get('look-up') ?? 0) > (before.get('look-up') ?? 0));
  const books = ranked.get('book') ?? 0;
  t.true(books >= (before.get('book') ?? 0) * 0.7);
});

/** Share of requests that are served, by whether their time limit is short. */
interface Shares {
  readonly long: number;
  readonly short: number;
}

/** Time limit of a route whose requests take nearly as long, in milliseconds. */
const SHORT_LIMIT_MS = 290;

/** Latency objective of the other requests, in milliseconds. */
const LONG_LIMIT_MS = 400;

/** Plays an instance that is a little overloaded, with a few short limits. */
async function playShort(
  setDeadline: typeof admissionDeadline,
): Promise<Shares> {
  const random = createRandom(5);
  const {admission, after, advance, now} = createVirtual();
  const asked = {long: 0, short: 0};
  const served = {long: 0, short: 0};
  const arrive = async (id: number, kind: 'long' | 'short') => {
    asked[kind] += 1;
    const timeMs = kind === 'long' ? LONG_LIMIT_MS : SHORT_LIMIT_MS;
    const deadlineAt = now() + timeMs;
    const {estimates} = admission.state();
    const limit = setDeadline(deadlineAt, now(), {
      deviationMs: spreadMs(estimates, 'view', now()),
      cautiousMs: cautiousMs(estimates, 'view', now()),
    });
    const result = await admission.admit({
      service: 'view',
      caller: String(id),
      priority: 1,
      deadlineAt: limit,
    });
    if (result.kind === 'refused') return;
    const {release} = result;
    const run = () => {
      release('ran');
      if (now() <= deadlineAt) served[kind] += 1;
    };
    after(70 + random() * 200, run);
  };
  for (let id = 0; now() < 30_000; id++) {
    advance(1);
    if (random() < 0.08) void arrive(id, 'long');
    if (random() < 0.004) void arrive(100_000 + id, 'short');
    for (let turn = 0; turn < 6; turn++) await Promise.resolve();
  }
  return {long: served.long / asked.long, short: served.short / asked.short};
}

test('a route with a short time limit is served a quarter as often or more', async t => {
  const {long, short} = await playShort(admissionDeadline);
  const before = await playShort(deadlineAt => deadlineAt);
  t.true(short > before.short);
  t.true(short >= long / 4);
});
