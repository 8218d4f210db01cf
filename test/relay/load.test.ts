import test from 'ava';
import {createRandom} from '../../src/load/random.js';
import {
  createSlots,
  rank,
  type Route,
  type SlotRequest,
} from '../../src/relay/index.js';

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

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Slots of an instance in virtual time. */
function createVirtual(count: number) {
  let now = 0;
  let timers: Timer[] = [];
  const after = (delayMs: number, run: () => void) => {
    const timer = {at: now + delayMs, run};
    timers.push(timer);
    return () => (timers = timers.filter(other => other !== timer));
  };
  const slots = createSlots({slots: count, clock: () => now, schedule: after});
  const advance = async (timeMs: number) => {
    now += timeMs;
    const due = timers.filter(timer => timer.at <= now);
    timers = timers.filter(timer => timer.at > now);
    due.forEach(timer => timer.run());
    for (let turn = 0; turn < 6; turn++) await Promise.resolve();
  };
  return {slots, after, advance, now: () => now};
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
  readonly perSecond: number;
  readonly workMs: (random: () => number) => number;
  /** Attempts after a refusal. */
  readonly retries: number;
  /** Time for which the caller waits in all, in milliseconds. */
  readonly patienceMs: number;
}

type Urgencies = typeof rank;

const MS_PER_SECOND = 1000;

/** Share of the time left for which a caller obeys a Retry-After. */
const RETRY_AFTER_SHARE = 1 / 3;

/** Plays streams of requests to one instance, with callers that come back. */
async function play(
  count: number,
  streams: readonly Stream[],
  urgencyOf: Urgencies = rank,
  lengthMs = 20_000,
): Promise<ReadonlyMap<string, Tally>> {
  const random = createRandom(5);
  const {slots, after, advance, now} = createVirtual(count);
  const tallies = new Map<string, Tally>();
  const count1 = (route: Route, field: keyof Tally) => {
    const known = tallies.get(route.name) ?? {asked: 0, inTime: 0, served: 0};
    tallies.set(route.name, {...known, [field]: known[field] + 1});
  };
  const arrive = async (stream: Stream, firstAt: number, left: number) => {
    const {route, patienceMs} = stream;
    const {name, timeoutMs, objectiveMs} = route;
    const untilAt = firstAt + patienceMs;
    const deadlineAt = Math.min(untilAt, now() + timeoutMs);
    const urgency = urgencyOf(route, route === LOOK_UP, now(), deadlineAt);
    const request: Omit<SlotRequest, 'id' | 'arrivedAt'> = {
      kind: name,
      rank: urgency.priority,
      objectiveAt: urgency.objectiveAt,
      deadlineAt,
    };
    const grant = await slots.take(request, () => new AbortController().signal);
    if (grant.kind === 'denied') {
      const leftMs = untilAt - now();
      const waitMs = Math.min(grant.retryAfterMs, leftMs * RETRY_AFTER_SHARE);
      if (left === 0 || waitMs <= 0) return;
      after(waitMs, () => void arrive(stream, firstAt, left - 1));
      return;
    }
    after(stream.workMs(random), () => {
      grant.release(true);
      if (now() > deadlineAt) return;
      count1(route, 'served');
      if (now() <= firstAt + objectiveMs) count1(route, 'inTime');
    });
  };
  while (now() < lengthMs) {
    await advance(1);
    for (const stream of streams) {
      if (random() >= stream.perSecond / MS_PER_SECOND) continue;
      count1(stream.route, 'asked');
      void arrive(stream, now(), stream.retries);
    }
  }
  return tallies;
}

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

/** Every request counts in full up to its deadline, whatever it is. */
const byArrival: Urgencies = (route, _, __, deadlineAt) => ({
  priority: route.priority,
  objectiveAt: deadlineAt,
});

/** Short work has no precedence. */
const byObjective: Urgencies = (route, _, startedAt) => ({
  priority: route.priority,
  objectiveAt: startedAt + route.objectiveMs,
});

const VIEWS: Stream = {
  route: VIEW,
  perSecond: 50,
  workMs: around(160),
  retries: 2,
  patienceMs: 2500,
};

test('an overload leaves most of what is run in time for its objective', async t => {
  // 50 a second of 160 ms each ask for 8 slots of 6.
  const tallies = await play(6, [VIEWS]);
  const before = await play(6, [VIEWS], byArrival);
  const inTime = shareOf(tallies, VIEW, 'inTime');
  // The floor that the users state for the worst-served kind of request.
  t.true(inTime >= 0.25);
  t.true(inTime > 2 * shareOf(before, VIEW, 'inTime'));
  t.true(inTime >= shareOf(tallies, VIEW, 'served') * 0.8);
  t.true(
    shareOf(tallies, VIEW, 'served') >= shareOf(before, VIEW, 'served') * 0.9,
  );
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
    const grant = await slots.take(
      {
        kind: 'view',
        rank: 1,
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
  const before = await play(12, streams, byObjective);
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
