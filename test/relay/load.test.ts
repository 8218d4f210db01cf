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

/** Slots of an instance in virtual time. */
function createVirtual(count: number) {
  const time = createVirtualTime();
  const {after, now} = time;
  const slots = createSlots({slots: count, clock: now, schedule: after});
  return {slots, ...time};
}

/** What the callers of one route got. */
interface Tally {
  readonly asked: number;
  /** Answered by the objective, counted from the caller's first attempt. */
  readonly inTime: number;
  /** Answered at all. */
  readonly served: number;
}

/** Requests of one route that come at random. */
interface Stream {
  readonly route: Route;
  /** Requests of one kind share an estimate; the route's name if missing. */
  readonly kind?: string;
  readonly perSecond: number;
  readonly workMs: (random: () => number) => number;
  /** Attempts after a refusal. */
  readonly retries: number;
  /** Time for which the caller waits in all, in milliseconds. */
  readonly patienceMs: number;
}

/** Times that the slots are told of one attempt. */
interface Times {
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

type Setting = (route: Route, firstAt: number, deadlineAt: number) => Times;

/** Every request counts in full up to its objective. */
const byObjective: Setting = ({objectiveMs}, firstAt, deadlineAt) => ({
  objectiveAt: firstAt + objectiveMs,
  deadlineAt,
});

/** Every request counts in full up to its deadline, whatever it is. */
const byDeadline: Setting = (_, __, deadlineAt) => ({
  objectiveAt: deadlineAt,
  deadlineAt,
});

/** Takes every attempt for a first one. */
const FORGETFUL: CallerRetries = {
  recordFailure: () => {},
  firstAttemptAt: () => undefined,
};

const MS_PER_SECOND = 1000;

/** Share of the time left for which a caller obeys a Retry-After. */
const RETRY_AFTER_SHARE = 1 / 3;

/** Plays streams of requests to one instance, with callers that come back. */
async function play(
  count: number,
  streams: readonly Stream[],
  times: Setting = byObjective,
  returns: CallerRetries = createCallerRetries(),
): Promise<ReadonlyMap<string, Tally>> {
  const random = createRandom(5);
  const {slots, after, advance, now} = createVirtual(count);
  const tallies = new Map<string, Tally>();
  const add = ({name}: Route, field: keyof Tally) => {
    const known = tallies.get(name) ?? {asked: 0, inTime: 0, served: 0};
    tallies.set(name, {...known, [field]: known[field] + 1});
  };
  const arrive = async (stream: Stream, sentAt: number, left: number) => {
    const {route, patienceMs} = stream;
    const {name, priority, timeoutMs, objectiveMs} = route;
    const {kind = name} = stream;
    const dueAt = sentAt + patienceMs;
    const mark = {method: 'GET', target: `/${sentAt}`, dueAt};
    const firstAt = returns.firstAttemptAt(mark, now()) ?? now();
    const deadlineAt = Math.min(dueAt, now() + timeoutMs);
    const request = {kind, priority, ...times(route, firstAt, deadlineAt)};
    const grant = await slots.acquire(
      request,
      () => new AbortController().signal,
    );
    if (grant.kind === 'denied') {
      returns.recordFailure(mark, firstAt);
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
      add(stream.route, 'asked');
      void arrive(stream, now(), stream.retries);
    }
  }
  return tallies;
}

/** Length of a play in virtual time, in milliseconds. */
const LENGTH_MS = 20_000;

function shareOf(
  tallies: ReadonlyMap<string, Tally>,
  route: Route,
  field: 'inTime' | 'served',
): number {
  const tally = tallies.get(route.name);
  return tally ? tally[field] / tally.asked : 0;
}

/** Work time around a mean: most near it, some up to twice as long. */
const around = (meanMs: number) => (random: () => number) =>
  meanMs * (0.4 + 0.6 * (random() + random()));

const VIEWS: Stream = {
  route: VIEW,
  perSecond: 50,
  workMs: around(160),
  retries: 2,
  patienceMs: 2500,
};

test('an overload leaves what is run in time for its objective', async t => {
  // 50 a second of 160 ms each ask for 8 slots of 6.
  const tallies = await play(6, [VIEWS]);
  const inTime = shareOf(tallies, VIEW, 'inTime');
  const served = shareOf(tallies, VIEW, 'served');
  // The floor that the users state for the worst-served kind of request.
  t.true(inTime >= 0.25);
  t.true(inTime >= served * 0.8);
  const byTime = await play(6, [VIEWS], byDeadline);
  t.true(inTime > 2 * shareOf(byTime, VIEW, 'inTime'));
  t.true(served >= 0.9 * shareOf(byTime, VIEW, 'served'));
  const forgetful = await play(6, [VIEWS], byObjective, FORGETFUL);
  t.true(inTime > 1.2 * shareOf(forgetful, VIEW, 'inTime'));
});

test('an instance with room to spare serves nearly all in time', async t => {
  const tallies = await play(6, [{...VIEWS, perSecond: 25}]);
  t.true(shareOf(tallies, VIEW, 'inTime') >= 0.95);
  t.true(shareOf(tallies, VIEW, 'served') >= 0.99);
});

test('a burst is over for callers soon after it has ended', async t => {
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

test('an overload costs no look-ups of requests that run elsewhere', async t => {
  const streams: Stream[] = [
    {...VIEWS, route: BOOK, workMs: around(220), retries: 0},
    {...VIEWS, route: LOOK_UP, perSecond: 100, workMs: around(40), retries: 0},
  ];
  const ranked = await play(12, streams);
  // One estimate for both, so that nothing tells that one of them is short.
  const equal = streams.map(stream => ({...stream, kind: 'any'}));
  const before = await play(12, equal);
  const lookUps = shareOf(ranked, LOOK_UP, 'served');
  t.true(lookUps >= 0.99);
  t.true(lookUps > shareOf(before, LOOK_UP, 'served'));
  t.true(
    shareOf(ranked, BOOK, 'served') >= shareOf(before, BOOK, 'served') * 0.7,
  );
});

test('a route with a short time limit is served a quarter as often or more', async t => {
  const short: Route = {...VIEW, name: 'short', timeoutMs: 290};
  const streams: Stream[] = [
    {...VIEWS, perSecond: 80, workMs: around(170), retries: 0},
    {...VIEWS, route: short, perSecond: 4, workMs: around(170), retries: 0},
  ];
  const tallies = await play(12, streams);
  const long = shareOf(tallies, VIEW, 'served');
  t.true(shareOf(tallies, short, 'served') >= long / 4);
});
