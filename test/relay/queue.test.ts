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

/** Lets requests run one after the other, so that their times are known. */
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

/** Applies events at one time and returns the ids that started, in order. */
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

test('a request that can meet its objective goes before one that can not', t => {
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

test('a higher priority goes first, then short work', t => {
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

test('short work is told by its measured time, not by objectives', t => {
  // A route without requests states a long objective; views stay long work.
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

test('late requests wait in small number and not until their deadline', t => {
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

test('a refusal says when what waits has started', t => {
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

test('each request gets one verdict at most, and slots are never exceeded', t => {
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
      const gone = new Set<number>();
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
          gone.add(known.id);
        }
        const step = applyQueueEvent(state, known, now);
        state = step.state;
        for (const {id} of step.verdicts) {
          if (decided.has(id) || gone.has(id)) return false;
          decided.add(id);
        }
        if (state.running.length > state.slots) return false;
        const isIdle = state.running.length < state.slots;
        if (isIdle && state.waiting.length > 0 && known.kind !== 'cancel') {
          return false;
        }
      }
      const open = [...arrived].filter(id => !decided.has(id) && !gone.has(id));
      return open.length === state.waiting.length;
    }),
    {seed: 20261204, numRuns: 500},
  );
  t.pass();
});

test('an attempt that comes back counts from the first one', t => {
  const returns = createCallerRetries();
  const first = {method: 'GET', target: '/a', key: 7, dueAt: 2500};
  t.is(returns.firstAttemptAt(first, 0), undefined);
  returns.recordFailure(first, 0);
  t.is(returns.firstAttemptAt({...first, dueAt: 2504}, 300), 0);
  returns.recordFailure({...first, dueAt: 2504}, 0);
  t.is(returns.firstAttemptAt({...first, dueAt: 2498}, 900), 0);
});

test('another request for the same target is a first attempt', t => {
  const returns = createCallerRetries();
  const first = {method: 'GET', target: '/a', key: 7, dueAt: 2500};
  returns.recordFailure(first, 0);
  t.is(returns.firstAttemptAt({...first, dueAt: 2800}, 300), undefined);
  t.is(returns.firstAttemptAt({...first, target: '/b'}, 300), undefined);
  t.is(returns.firstAttemptAt({...first, key: 8}, 300), undefined);
});

test('the memory of requests that may come back is bounded', t => {
  const returns = createCallerRetries();
  const markOf = (n: number) => ({method: 'GET', target: `/${n}`, dueAt: 2500});
  for (let n = 0; n < 10_000; n++) returns.recordFailure(markOf(n), 0);
  t.is(returns.firstAttemptAt(markOf(0), 10), undefined);
  t.is(returns.firstAttemptAt(markOf(9999), 10), 0);
});
