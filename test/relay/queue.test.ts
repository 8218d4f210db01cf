import test from 'ava';
import fc from 'fast-check';
import {
  applyQueueEvent,
  createQueue,
  createCallerRetries,
  nextQueueTickAt,
  type QueueEvent,
  type QueueState,
  type SlotRequest,
} from '../../src/relay/index.js';

function request(id: number, fields: Partial<SlotRequest> = {}): SlotRequest {
  const {arrivedAt = 0} = fields;
  return {
    id,
    kind: 'view',
    priority: 1,
    arrivedAt,
    objectiveAt: arrivedAt + 400,
    deadlineAt: arrivedAt + 1200,
    ...fields,
  };
}

/**
 * Runs requests one after the other, so that the estimates of their kinds are
 * known.
 */
function train(
  state: QueueState,
  times: Readonly<Record<string, number>>,
): {state: QueueState; now: number} {
  let now = 0;
  let id = 1_000_000;
  for (let round = 0; round < 20; round++) {
    for (const [kind, timeMs] of Object.entries(times)) {
      id += 1;
      const fields = {kind, arrivedAt: now};
      state = applyQueueEvent(
        state,
        {kind: 'arrive', request: request(id, fields)},
        now,
      ).state;
      now += timeMs;
      state = applyQueueEvent(
        state,
        {kind: 'finish', id, ran: true},
        now,
      ).state;
    }
  }
  return {state, now};
}

/**
 * Applies events at one time and returns the ids of the started requests, in
 * order.
 */
function startsOf(
  state: QueueState,
  events: readonly QueueEvent[],
  now: number,
): {state: QueueState; started: number[]} {
  const started: number[] = [];
  for (const event of events) {
    const step = applyQueueEvent(state, event, now);
    state = step.state;
    for (const verdict of step.verdicts) {
      if (verdict.kind === 'start') started.push(verdict.id);
    }
  }
  return {state, started};
}

const arrival = (id: number, fields: Partial<SlotRequest>): QueueEvent => ({
  kind: 'arrive',
  request: request(id, fields),
});

const end = (id: number): QueueEvent => ({kind: 'finish', id, ran: false});

test('a request that can meet its objective precedes one that cannot', t => {
  const {state, now} = train(createQueue(1), {view: 100});
  const at = {arrivedAt: now};
  const {started} = startsOf(
    state,
    [
      arrival(1, at),
      arrival(2, {...at, objectiveAt: now + 20}),
      arrival(3, at),
      end(1),
      end(3),
    ],
    now,
  );
  t.deepEqual(started, [1, 3, 2]);
});

test('requests start by priority, then short work first', t => {
  const {state, now} = train(createQueue(1), {view: 100, lookUp: 20});
  const at = {arrivedAt: now, deadlineAt: now + 5000, objectiveAt: now + 4000};
  const {started} = startsOf(
    state,
    [
      arrival(1, at),
      arrival(2, {...at, priority: 2, kind: 'lookUp'}),
      arrival(3, at),
      arrival(4, {...at, kind: 'lookUp'}),
      end(1),
      end(4),
      end(3),
    ],
    now,
  );
  t.deepEqual(started, [1, 4, 3, 2]);
});

test('short work is recognized by its measured duration, not by its objective', t => {
  // A route without requests has a long objective; views remain long work.
  const {state, now} = train(createQueue(1), {view: 100});
  const idle = {kind: 'idle', objectiveAt: now + 1000, arrivedAt: now};
  const next = startsOf(
    state,
    [arrival(1, idle), arrival(2, {arrivedAt: now})],
    now,
  ).state;
  t.false(next.waiting[0].isShort);
  t.true(next.waiting[0].objectiveStartAt < now + 400);
});

test('few late requests wait, and they are refused before their deadline', t => {
  const {state, now} = train(createQueue(2), {view: 100});
  const late = {arrivedAt: now, objectiveAt: now - 1, deadlineAt: now + 1000};
  let next = state;
  const refused: number[] = [];
  for (let id = 1; id <= 6; id++) {
    const step = applyQueueEvent(next, arrival(id, late), now);
    next = step.state;
    for (const verdict of step.verdicts) {
      if (verdict.kind === 'refuse') refused.push(verdict.id);
    }
  }
  t.deepEqual(refused, [5, 6]);
  const at = nextQueueTickAt(next);
  t.true(at <= now + 500);
  const step = applyQueueEvent(next, {kind: 'tick'}, at);
  t.deepEqual(
    step.verdicts.map(({kind}) => kind),
    ['refuse', 'refuse'],
  );
});

test('the Retry-After of a refusal is the time until all waiting requests have started', t => {
  const {state, now} = train(createQueue(1), {view: 200});
  const at = {arrivedAt: now, objectiveAt: now + 4000, deadlineAt: now + 5000};
  const ids = [1, 2, 3, 4];
  const full = startsOf(
    state,
    ids.map(id => arrival(id, at)),
    now,
  ).state;
  const {verdicts} = applyQueueEvent(
    full,
    arrival(9, {...at, objectiveAt: now - 1, deadlineAt: now + 400}),
    now,
  );
  const [verdict] = verdicts;
  t.is(verdict.kind, 'refuse');
  if (verdict.kind !== 'refuse') return;
  t.is(Math.round(verdict.retryAfterMs), 800);
});

/**
 * Fills the slots and refuses late requests until the instance counts as
 * overloaded.
 */
function overload(state: QueueState, now: number): QueueState {
  let next = state;
  const late = {arrivedAt: now, objectiveAt: now - 1, deadlineAt: now + 1000};
  for (let id = 1; id <= 80; id++) {
    next = applyQueueEvent(next, arrival(id, late), now).state;
  }
  for (const {request: waiting} of next.waiting) {
    next = applyQueueEvent(next, {kind: 'cancel', id: waiting.id}, now).state;
  }
  return next;
}

test('of the late requests, the one that has missed its objective least starts first', t => {
  const {state, now} = train(createQueue(2), {view: 100});
  const within = (ms: number) => ({
    arrivedAt: now,
    objectiveAt: now + ms,
    deadlineAt: now + 1000 + ms,
  });
  const late = startsOf(
    state,
    [
      arrival(1, within(400)),
      arrival(2, within(400)),
      arrival(3, within(60)),
      arrival(4, within(90)),
    ],
    now,
  ).state;
  t.true(late.waiting.every(({objectiveStartAt}) => objectiveStartAt > now));
  t.true(late.waiting.every(entry => entry.objectiveStartAt < now + 30));
  const {started} = startsOf(late, [end(1), end(2)], now + 30);
  t.deepEqual(started, [4, 3]);
});

test('an overloaded instance first starts requests with the most time left', t => {
  const {state, now} = train(createQueue(2), {view: 100});
  const older = arrival(101, {arrivedAt: now});
  const newer = arrival(102, {arrivedAt: now + 20});
  const full = overload(state, now);
  const busy = startsOf(full, [older, newer], now + 20).state;
  const [{request: first}] = busy.running;
  t.deepEqual(startsOf(busy, [end(first.id)], now + 30).started, [102]);
  const calm = startsOf(
    state,
    [arrival(1, {arrivedAt: now}), arrival(2, {arrivedAt: now}), older, newer],
    now + 20,
  ).state;
  t.deepEqual(startsOf(calm, [end(1)], now + 30).started, [101]);
});

test('an overloaded instance refuses at once those that newer requests make late', t => {
  const {state, now} = train(createQueue(2), {view: 100});
  let next = overload(state, now);
  const refused: number[] = [];
  for (let id = 101; id <= 120; id++) {
    const arrivedAt = now + id;
    const step = applyQueueEvent(next, arrival(id, {arrivedAt}), arrivedAt);
    next = step.state;
    for (const verdict of step.verdicts) {
      if (verdict.kind !== 'refuse') continue;
      refused.push(verdict.id);
      t.true(verdict.retryAfterMs > 0);
    }
  }
  t.true(refused.length > 0);
  // Oldest first, and long before they would expire.
  t.deepEqual(
    refused,
    refused.map((_, index) => 101 + index),
  );
  t.true(next.waiting.length >= 2);
  t.true(next.waiting.every(({expiresAt}) => expiresAt > now + 220));
});

test('short work waits in the order of its deadlines under overload', t => {
  const {state, now} = train(createQueue(2), {view: 100, lookUp: 20});
  const full = overload(state, now);
  const lookUp = {kind: 'lookUp', objectiveAt: now + 200};
  const busy = startsOf(
    full,
    [
      arrival(101, {...lookUp, arrivedAt: now, deadlineAt: now + 800}),
      arrival(102, {...lookUp, arrivedAt: now, deadlineAt: now + 900}),
    ],
    now,
  ).state;
  const ids = busy.running.map(({request: known}) => end(known.id));
  t.deepEqual(startsOf(busy, ids, now).started, [101, 102]);
});

test('refusals by a rate limit do not make an instance overloaded', t => {
  const limit: QueueEvent = {kind: 'limit', perSecond: 5};
  let state = applyQueueEvent(createQueue(12), limit, 0).state;
  for (let id = 1; id <= 100; id++) {
    state = applyQueueEvent(state, arrival(id, {}), 0).state;
  }
  t.is(state.refusedShare, 0);
});

const eventOf = (id: number): fc.Arbitrary<readonly [number, QueueEvent]> =>
  fc.tuple(
    fc.nat(300),
    fc.oneof(
      fc.record({
        kind: fc.constant('arrive' as const),
        request: fc.record({
          id: fc.constant(id),
          kind: fc.constantFrom('view', 'lookUp'),
          priority: fc.nat(2),
          arrivedAt: fc.constant(0),
          objectiveAt: fc.integer({min: -200, max: 600}),
          deadlineAt: fc.integer({min: -50, max: 1500}),
        }),
      }),
      fc.record({
        kind: fc.constant('finish' as const),
        id: fc.nat(id),
        ran: fc.boolean(),
      }),
      fc.record({kind: fc.constant('cancel' as const), id: fc.nat(id)}),
      fc.constant({kind: 'tick' as const}),
    ),
  );

test('each request gets at most one verdict, and the slots are never exceeded', t => {
  const events = fc
    .nat(60)
    .chain(length =>
      fc.tuple(...Array.from({length}, (_, index) => eventOf(index + 1))),
    );
  fc.assert(
    fc.property(events, steps => {
      let state = createQueue(3);
      let now = 0;
      const decided = new Set<number>();
      const cancelled = new Set<number>();
      const arrived = new Set<number>();
      for (const [passedMs, event] of steps) {
        now += passedMs;
        const known =
          event.kind === 'arrive'
            ? {
                ...event,
                request: {
                  ...event.request,
                  arrivedAt: now,
                  objectiveAt: now + event.request.objectiveAt,
                  deadlineAt: now + event.request.deadlineAt,
                },
              }
            : event;
        if (known.kind === 'arrive') arrived.add(known.request.id);
        if (known.kind === 'cancel' && !decided.has(known.id)) {
          cancelled.add(known.id);
        }
        const step = applyQueueEvent(state, known, now);
        state = step.state;
        for (const {id} of step.verdicts) {
          if (decided.has(id) || cancelled.has(id)) return false;
          decided.add(id);
        }
        if (state.running.length > state.slots) return false;
        const isIdle = state.running.length < state.slots;
        if (isIdle && state.waiting.length > 0 && known.kind !== 'cancel') {
          return false;
        }
      }
      const open = [...arrived].filter(
        id => !decided.has(id) && !cancelled.has(id),
      );
      return open.length === state.waiting.length;
    }),
    {seed: 20261204, numRuns: 500},
  );
  t.pass();
});

test('a retry counts from the first attempt', t => {
  const retries = createCallerRetries();
  const first = {method: 'GET', target: '/a', key: 7, dueAt: 2500};
  t.is(retries.firstAttemptAt(first, 0), undefined);
  retries.recordFailure(first, 0);
  t.is(retries.firstAttemptAt({...first, dueAt: 2504}, 300), 0);
  retries.recordFailure({...first, dueAt: 2504}, 0);
  t.is(retries.firstAttemptAt({...first, dueAt: 2498}, 900), 0);
});

test('another request for the same target is a first attempt', t => {
  const retries = createCallerRetries();
  const first = {method: 'GET', target: '/a', key: 7, dueAt: 2500};
  retries.recordFailure(first, 0);
  t.is(retries.firstAttemptAt({...first, dueAt: 2800}, 300), undefined);
  t.is(retries.firstAttemptAt({...first, target: '/b'}, 300), undefined);
  t.is(retries.firstAttemptAt({...first, key: 8}, 300), undefined);
});

test('the number of recorded failed requests is bounded', t => {
  const retries = createCallerRetries();
  const identityOf = (n: number) => ({
    method: 'GET',
    target: `/${n}`,
    dueAt: 2500,
  });
  for (let n = 0; n < 10_000; n++) retries.recordFailure(identityOf(n), 0);
  t.is(retries.firstAttemptAt(identityOf(0), 10), undefined);
  t.is(retries.firstAttemptAt(identityOf(9999), 10), 0);
});

test('requests whose objective is their deadline wait in the order of their deadlines under overload', t => {
  const {state, now} = train(createQueue(2), {view: 100});
  const full = overload(state, now);
  const untilDeadline = (deadlineAt: number) => ({
    ...{arrivedAt: now, objectiveAt: deadlineAt, deadlineAt},
  });
  const busy = startsOf(
    full,
    [
      arrival(101, untilDeadline(now + 800)),
      arrival(102, untilDeadline(now + 900)),
    ],
    now,
  ).state;
  const ids = busy.running.map(({request: known}) => end(known.id));
  t.deepEqual(startsOf(busy, ids, now).started, [101, 102]);
});

/**
 * Plays arrivals of two kinds of equal priority and equal work, each as many as
 * the slots can run, and returns the share of each that was started in time.
 */
function playKinds(objectives: Readonly<Record<string, number>>) {
  const times = {map: 100, history: 100};
  const trained = train(createQueue(2), times);
  let {state} = trained;
  const from = trained.now;
  const ends: {id: number; at: number}[] = [];
  const kinds = new Map<number, string>();
  const started: Record<string, number> = {map: 0, history: 0};
  const count = 600;
  let id = 0;
  const apply = (event: QueueEvent, now: number) => {
    const step = applyQueueEvent(state, event, now);
    state = step.state;
    for (const verdict of step.verdicts) {
      if (verdict.kind !== 'start') continue;
      started[kinds.get(verdict.id) ?? ''] += 1;
      ends.push({id: verdict.id, at: now + 100});
    }
  };
  for (let index = 0; index < count; index++) {
    const now = from + index * 50;
    for (;;) {
      ends.sort((a, b) => a.at - b.at);
      const endAt = ends[0]?.at ?? Infinity;
      const tickAt = nextQueueTickAt(state);
      if (Math.min(endAt, tickAt) > now) break;
      if (tickAt < endAt) {
        apply({kind: 'tick'}, tickAt);
        continue;
      }
      const ended = ends.shift() as {id: number; at: number};
      apply({kind: 'finish', id: ended.id, ran: true}, ended.at);
    }
    for (const [kind, ms] of Object.entries(objectives)) {
      id += 1;
      kinds.set(id, kind);
      const fields = {kind, arrivedAt: now, objectiveAt: now + ms};
      apply(arrival(id, {...fields, deadlineAt: now + 3 * ms}), now);
    }
  }
  return {map: started.map / count, history: started.history / count};
}

// Guards against a kind of request that is starved by another one (gate, Starved).
test('under overload neither of two kinds with different objectives is starved', t => {
  const {map, history} = playKinds({map: 400, history: 3000});
  const least = (map + history) / 8;
  t.true(Math.min(map, history) >= least, `${map} and ${history}`);
});

test('a request that expires unnoticed until a slot is free counts as refused for lack of a slot', t => {
  const {state, now} = train(createQueue(2), {view: 100});
  const fields = {arrivedAt: now};
  const full = startsOf(
    state,
    [1, 2, 3].map(id => arrival(id, fields)),
    now,
  ).state;
  // The timer of its expiry is late, and a request ends first.
  const later = Math.max(...full.waiting.map(({expiresAt}) => expiresAt)) + 50;
  const step = applyQueueEvent(full, end(1), later);
  t.deepEqual(
    step.verdicts.map(({kind, id}) => [kind, id]),
    [['refuse', 3]],
  );
  t.true(step.state.refusedShare > full.refusedShare);
});
