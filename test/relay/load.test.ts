import test from 'ava';
import {createRandom} from '../../src/load/random.js';
import {
  createCallerRetries,
  createSlots,
  type CallerRetries,
  type Route,
} from '../../src/relay/index.js';
import {createVirtualTime} from './virtual.js';

const BOOK: Route = {
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
  ...BOOK,
  name: 'look-up',
  timeoutMs: 400,
  objectiveMs: 120,
};
const VIEW: Route = {...BOOK, name: 'view', objectiveMs: 400, timeoutMs: 1200};

/** Creates the slots of an instance in virtual time. */
function createVirtual(count: number) {
  const time = createVirtualTime();
  const {after, now} = time;
  const slots = createSlots({slots: count, clock: now, schedule: after});
  return {slots, ...time};
}

/** Results of the requests of one route. */
interface Tally {
  readonly arrived: number;
  /**
   * Answered by the latency objective, counted from the first attempt of the
   * caller.
   */
  readonly inTime: number;
  /** Answered at all. */
  readonly served: number;
}

/** Requests of one route that arrive at random. */
interface Stream {
  readonly route: Route;
  /**
   * Requests of one kind share an estimate; defaults to the name of the route.
   */
  readonly kind?: string;
  readonly perSecond: number;
  readonly workMs: (random: () => number) => number;
  /** Retries after a refusal. */
  readonly retries: number;
  /** Total timeout of the caller, in milliseconds. */
  readonly callerTimeoutMs: number;
}

/** Times that the slots get for one attempt. */
interface Times {
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

type Setting = (route: Route, firstAt: number, deadlineAt: number) => Times;

/** Sets the objective of the route, counted from the first attempt. */
const byObjective: Setting = ({objectiveMs}, firstAt, deadlineAt) => ({
  objectiveAt: firstAt + objectiveMs,
  deadlineAt,
});

/** Sets the deadline as the objective of every request. */
const byDeadline: Setting = (_, __, deadlineAt) => ({
  objectiveAt: deadlineAt,
  deadlineAt,
});

/** Treats every attempt as a first one. */
const WITHOUT_RETRIES: CallerRetries = {
  recordFailure: () => {},
  firstAttemptAt: () => undefined,
};

const MS_PER_SECOND = 1000;

/** Share of the remaining time for which a caller obeys a Retry-After. */
const RETRY_AFTER_SHARE = 1 / 3;

/** Simulates streams of requests to one instance, with callers that retry. */
async function simulate(
  count: number,
  streams: readonly Stream[],
  times: Setting = byObjective,
  callerRetries: CallerRetries = createCallerRetries(),
): Promise<ReadonlyMap<string, Tally>> {
  const random = createRandom(5);
  const {slots, after, advance, now} = createVirtual(count);
  const tallies = new Map<string, Tally>();
  const add = ({name}: Route, field: keyof Tally) => {
    const known = tallies.get(name) ?? {arrived: 0, inTime: 0, served: 0};
    tallies.set(name, {...known, [field]: known[field] + 1});
  };
  const arrive = async (stream: Stream, sentAt: number, left: number) => {
    const {route, callerTimeoutMs} = stream;
    const {name, priority, timeoutMs, objectiveMs} = route;
    const {kind = name} = stream;
    const dueAt = sentAt + callerTimeoutMs;
    const identity = {method: 'GET', target: `/${sentAt}`, dueAt};
    const firstAt = callerRetries.firstAttemptAt(identity, now()) ?? now();
    const deadlineAt = Math.min(dueAt, now() + timeoutMs);
    const request = {kind, priority, ...times(route, firstAt, deadlineAt)};
    const grant = await slots.acquire(
      request,
      () => new AbortController().signal,
    );
    if (grant.kind === 'denied') {
      callerRetries.recordFailure(identity, firstAt);
      const leftMs = dueAt - now();
      const waitMs = Math.min(grant.retryAfterMs, leftMs * RETRY_AFTER_SHARE);
      if (left === 0 || waitMs <= 0) return;
      after(waitMs, () => void arrive(stream, sentAt, left - 1));
      return;
    }
    after(stream.workMs(random), () => {
      grant.release(true);
      if (now() > deadlineAt) return;
      add(route, 'served');
      if (now() <= sentAt + objectiveMs) add(route, 'inTime');
    });
  };
  while (now() < LENGTH_MS) {
    await advance(1);
    for (const stream of streams) {
      if (random() >= stream.perSecond / MS_PER_SECOND) continue;
      add(stream.route, 'arrived');
      void arrive(stream, now(), stream.retries);
    }
  }
  return tallies;
}

/** Length of a simulation in virtual time, in milliseconds. */
const LENGTH_MS = 20_000;

function shareOf(
  tallies: ReadonlyMap<string, Tally>,
  route: Route,
  field: 'inTime' | 'served',
): number {
  const tally = tallies.get(route.name);
  return tally ? tally[field] / tally.arrived : 0;
}

/**
 * Returns a work time around a mean: mostly near it, at most about twice as
 * long.
 */
const around = (meanMs: number) => (random: () => number) =>
  meanMs * (0.4 + 0.6 * (random() + random()));

const VIEWS: Stream = {
  route: VIEW,
  perSecond: 50,
  workMs: around(160),
  retries: 2,
  callerTimeoutMs: 2500,
};

test('under overload most of the requests that run meet their objective', async t => {
  // 50 requests a second of 160 ms each need 8 slots of 6.
  const tallies = await simulate(6, [VIEWS]);
  const inTime = shareOf(tallies, VIEW, 'inTime');
  const served = shareOf(tallies, VIEW, 'served');
  // Lowest share that users accept for the worst-served kind of request.
  t.true(inTime >= 0.25);
  t.true(inTime >= served * 0.8);
  const byTime = await simulate(6, [VIEWS], byDeadline);
  t.true(inTime > 2 * shareOf(byTime, VIEW, 'inTime'));
  t.true(served >= 0.9 * shareOf(byTime, VIEW, 'served'));
  const withoutRetries = await simulate(
    6,
    [VIEWS],
    byObjective,
    WITHOUT_RETRIES,
  );
  t.true(inTime > 1.2 * shareOf(withoutRetries, VIEW, 'inTime'));
});

test('an instance with spare capacity serves nearly all requests in time', async t => {
  const tallies = await simulate(6, [{...VIEWS, perSecond: 25}]);
  t.true(shareOf(tallies, VIEW, 'inTime') >= 0.95);
  t.true(shareOf(tallies, VIEW, 'served') >= 0.99);
});

test('the queue of a burst is short soon after the burst has ended', async t => {
  const {slots, after, advance, now} = createVirtual(6);
  const arrive = async () => {
    const arrivedAt = now();
    const grant = await slots.acquire(
      {
        kind: 'view',
        priority: 1,
        objectiveAt: arrivedAt + 400,
        deadlineAt: arrivedAt + 1200,
      },
      () => new AbortController().signal,
    );
    if (grant.kind === 'granted') after(160, () => grant.release(true));
    return grant.kind;
  };
  for (let timeMs = 0; timeMs < 3000; timeMs++) {
    await advance(1);
    if (timeMs % 10 === 0) void arrive();
  }
  for (let timeMs = 0; timeMs < 500; timeMs++) await advance(1);
  const startedAt = now();
  const grant = arrive();
  while (slots.state().waiting.length > 0) await advance(1);
  t.is(await grant, 'granted');
  t.true(now() - startedAt <= 240);
});

test('under overload the look-ups of requests that run elsewhere are served', async t => {
  const streams: Stream[] = [
    {...VIEWS, route: BOOK, workMs: around(220), retries: 0},
    {...VIEWS, route: LOOK_UP, perSecond: 100, workMs: around(40), retries: 0},
  ];
  const ranked = await simulate(12, streams);
  // One estimate for both routes, so that look-ups are not recognized as short.
  const equal = streams.map(stream => ({...stream, kind: 'any'}));
  const before = await simulate(12, equal);
  const lookUps = shareOf(ranked, LOOK_UP, 'served');
  t.true(lookUps >= 0.99);
  t.true(lookUps > shareOf(before, LOOK_UP, 'served'));
  t.true(
    shareOf(ranked, BOOK, 'served') >= shareOf(before, BOOK, 'served') * 0.7,
  );
});

test('requests of one kind with uneven durations are answered by their objective under overload', async t => {
  // One in ten takes a second, as when a call that it makes times out.
  const uneven = (random: () => number) =>
    random() < 0.1 ? 1000 : around(100)(random);
  const tallies = await simulate(6, [
    {...VIEWS, perSecond: 64, workMs: uneven},
  ]);
  const inTime = shareOf(tallies, VIEW, 'inTime');
  const served = shareOf(tallies, VIEW, 'served');
  // Nine in ten of those that run can meet it.
  t.true(inTime >= served * 0.8);
  t.true(inTime >= 0.25);
});

test('a route with a short time limit is served at least a quarter as often', async t => {
  const short: Route = {...VIEW, name: 'short', timeoutMs: 290};
  const streams: Stream[] = [
    {...VIEWS, perSecond: 80, workMs: around(170), retries: 0},
    {...VIEWS, route: short, perSecond: 4, workMs: around(170), retries: 0},
  ];
  const tallies = await simulate(12, streams);
  const long = shareOf(tallies, VIEW, 'served');
  t.true(shareOf(tallies, short, 'served') >= long / 4);
});
