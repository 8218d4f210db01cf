import test from 'ava';
import {
  MAX_PAUSE_MS,
  decide,
  type TrackedRequest,
} from '../../src/admission/index.js';
import {forecast, startDelayMs} from '../../src/admission/forecast.js';
import {slotLimitAt} from '../../src/admission/limit.js';
import {admittedIds, createHarness, parameters, request} from './fixtures.js';

/** A bench whose one slot is taken and whose requests take 10 ms each. */
function busyHarness(changed: Partial<ReturnType<typeof parameters>> = {}) {
  const target = createHarness(1, parameters(changed));
  for (let i = 0; i < 30; i++) {
    target.apply({kind: 'arrive', request: request(-1 - i)});
    target.advance(10);
    target.apply({kind: 'finish', id: -1 - i, completion: 'ran'});
  }
  target.apply({kind: 'arrive', request: request(0)});
  const arrive = (id: number, changed: Partial<TrackedRequest>) =>
    target.apply({kind: 'arrive', request: request(id, changed)});
  const finish = (id: number) =>
    admittedIds(target.apply({kind: 'finish', id, completion: 'ran'}));
  return {...target, arrive, finish};
}

/** A bench with requests 0 to `count` - 1 that wait out a pause for one slot. */
function pausedHarness(count: number) {
  const target = createHarness(1, parameters());
  target.apply({kind: 'shed', retryAfterMs: 50});
  for (let id = 0; id < count; id++) {
    target.apply({kind: 'arrive', request: request(id)});
  }
  return target;
}

test('a caller with many requests does not hold up one with a single one', t => {
  const target = busyHarness();
  for (const id of [1, 2, 3, 4]) target.arrive(id, {caller: 'many'});
  target.arrive(5, {caller: 'single'});
  t.deepEqual(target.finish(0), [1]);
  t.deepEqual(target.finish(1), [5]);
});

test('callers own requests go by deadline without harm to others', t => {
  const target = busyHarness();
  target.arrive(1, {caller: 'a', deadlineAt: 9000});
  target.arrive(2, {caller: 'b', deadlineAt: 8000});
  target.arrive(3, {caller: 'a', deadlineAt: 5000});
  t.deepEqual(
    target.state().waiting.map(other => other.id),
    [3, 2, 1],
  );
});

test('a request that would miss its deadline is refused at once', t => {
  const target = busyHarness();
  const deadlineAt = target.now() + 45;
  t.deepEqual(target.arrive(1, {deadlineAt}), []);
  t.deepEqual(target.arrive(2, {deadlineAt: deadlineAt + 1}), []);
  t.deepEqual(target.arrive(3, {deadlineAt: deadlineAt + 2}), []);
  const [refused] = target.arrive(4, {deadlineAt: deadlineAt + 3});
  t.like(refused, {kind: 'refused', reason: 'overloaded'});
  t.true(refused.kind === 'refused' && refused.retryAfterMs > 35);
  t.true(refused.kind === 'refused' && refused.retryAfterMs < 45);
  const [overdue] = target.arrive(5, {deadlineAt: target.now() + 5});
  t.like(overdue, {reason: 'deadline', retryAfterMs: 0});
});

test('a slow first answer does not shut a service out', t => {
  const target = createHarness(4, parameters());
  const arrive = (id: number) =>
    target.apply({
      kind: 'arrive',
      request: request(id, {deadlineAt: target.now() + 500}),
    });
  arrive(1);
  target.advance(800);
  target.apply({kind: 'finish', id: 1, completion: 'ran'});
  t.deepEqual(admittedIds(arrive(2)), [2]);
  t.like(arrive(3), [{kind: 'refused', reason: 'deadline'}]);
  target.advance(10);
  target.apply({kind: 'finish', id: 2, completion: 'ran'});
  t.deepEqual(admittedIds([...arrive(4), ...arrive(5)]), [4, 5]);
});

test('an estimate that nothing has confirmed for long is dropped', t => {
  const target = busyHarness();
  const event = {kind: 'finish', id: 0, completion: 'cut-short'} as const;
  target.advance(10_000);
  t.like(target.arrive(1, {deadlineAt: target.now() + 5}), [{work: {id: 1}}]);
  target.apply(event);
  target.arrive(2, {});
  target.advance(100);
  const deadlineAt = target.now() + 105;
  t.deepEqual(target.arrive(3, {deadlineAt}), []);
});

test('a higher class goes first and gives up those it makes late', t => {
  const target = busyHarness();
  target.arrive(1, {priority: 2, deadlineAt: target.now() + 25});
  const verdicts = target.arrive(2, {priority: 0});
  t.like(verdicts, [{kind: 'refused', work: {id: 1}, reason: 'overloaded'}]);
  t.deepEqual(target.finish(0), [2]);
});

test('those behind a new request are judged with all that is before them', t => {
  const target = busyHarness();
  target.arrive(1, {priority: 2, deadlineAt: target.now() + 35});
  target.arrive(2, {priority: 2, deadlineAt: target.now() + 36});
  const verdicts = target.arrive(3, {priority: 0});
  t.like(verdicts, [{kind: 'refused', work: {id: 2}}]);
  t.is(verdicts.length, 1);
});

test('a request whose time ran out is not started late', t => {
  const target = busyHarness();
  target.arrive(1, {deadlineAt: target.now() + 40});
  const event = {kind: 'finish', id: 0, completion: 'ran'} as const;
  const {verdicts} = decide(target.state(), event, target.now() + 35);
  t.like(verdicts, [{kind: 'refused', work: {id: 1}, reason: 'overloaded'}]);
});

test('a request of a later round counts on others to pass it', t => {
  const target = busyHarness();
  const deadlineAt = target.now() + 64;
  for (const id of [1, 2, 3]) target.arrive(id, {caller: 'many', deadlineAt});
  target.arrive(4, {caller: 'single'});
  t.is(target.state().waiting.length, 4);
  const late = target.arrive(5, {caller: 'many', deadlineAt: deadlineAt + 1});
  t.like(late, [{kind: 'refused', work: {id: 5}}]);
});

test('a class waits longer for the share that those above it leave', t => {
  const target = busyHarness();
  const now = target.now();
  const demand = [{priority: 0, slots: 0.5, updatedAt: now}];
  const state = {...target.state(), demand};
  const first = {...request(1), round: 0, expectedMs: 10, latestStartAt: 1e6};
  const waits = [0, 1].map(priority =>
    startDelayMs(forecast(state, now, priority), {count: 0, workMs: 0}, first),
  );
  t.is(waits[1], 2 * waits[0]);
});

test('a class is refused at once while those above it fill every slot', t => {
  const target = busyHarness();
  let running = 0;
  for (let id = 1; id <= 300; id++) {
    target.arrive(id, {priority: 0, deadlineAt: target.now() + 60});
    target.advance(8);
    if (id % 5 === 0) continue;
    [running] = target.finish(running);
  }
  const deadlineAt = target.now() + 5000;
  t.like(target.arrive(500, {priority: 1, deadlineAt}), [
    {kind: 'refused', work: {id: 500}},
  ]);
  target.advance(3000);
  target.finish(running);
  target.arrive(501, {priority: 0});
  t.deepEqual(target.arrive(502, {priority: 1}), []);
});

test('a full queue gives up its last for a higher class and for nobody else', t => {
  const target = busyHarness({queueLimit: 2});
  target.arrive(1, {priority: 2});
  target.arrive(2, {priority: 2});
  t.like(target.arrive(3, {priority: 2}), [{work: {id: 3}}]);
  t.like(target.arrive(4, {priority: 1}), [{work: {id: 2}}]);
  t.deepEqual(target.finish(0), [4]);
});

test('a full queue gives up none for an earlier deadline alone', t => {
  const target = busyHarness({queueLimit: 1});
  target.arrive(1, {});
  t.like(target.arrive(2, {deadlineAt: 5000}), [{work: {id: 2}}]);
});

test('a key fills its share of the queue and no more', t => {
  const target = busyHarness({queueLimit: 4});
  target.arrive(1, {key: 'hot'});
  target.arrive(2, {key: 'hot'});
  t.like(target.arrive(3, {key: 'hot'}), [{kind: 'refused', work: {id: 3}}]);
  t.deepEqual(target.arrive(4, {key: 'cold'}), []);
  t.like(target.arrive(5, {key: 'hot', priority: 0}), [{work: {id: 2}}]);
});

test('a caller that holds a slot lets one without go first', t => {
  const target = createHarness(1, parameters());
  target.apply({kind: 'arrive', request: request(0, {caller: 'a'})});
  const first = request(1, {caller: 'a', deadlineAt: 500});
  target.apply({kind: 'arrive', request: first});
  target.apply({kind: 'arrive', request: request(2, {caller: 'b'})});
  t.deepEqual(
    target.state().waiting.map(other => other.id),
    [2, 1],
  );
});

test('an arrival that finds a slot free by time alone does not overtake', t => {
  const {state} = pausedHarness(2);
  const before = state();
  const event = {kind: 'arrive', work: request(9)} as const;
  const {verdicts} = decide(before, event, before.pausedUntil);
  t.deepEqual(admittedIds(verdicts), [0]);
});

test('a stalled upstream makes later requests be refused', t => {
  const target = busyHarness();
  target.advance(500);
  const deadlineAt = target.now() + 300;
  t.like(target.arrive(1, {deadlineAt}), [{reason: 'overloaded'}]);
});

test('a shed is obeyed and the slots rise again from half', t => {
  const target = createHarness(8, parameters());
  target.apply({kind: 'shed', retryAfterMs: 100});
  target.apply({kind: 'shed', retryAfterMs: 100});
  const ids = Array.from({length: 6}, (_, id) => id);
  for (const id of ids) target.apply({kind: 'arrive', request: request(id)});
  target.advance(99);
  t.is(target.state().running.length, 0);
  target.advance(1);
  t.is(target.state().running.length, 4);
  target.advance(100);
  t.is(target.state().running.length, 5);
  target.advance(300);
  t.is(slotLimitAt(target.state(), target.now()), 8);
});

test('a shed without measure pauses for a bounded time', t => {
  const target = createHarness(8, parameters());
  target.apply({kind: 'shed', retryAfterMs: Infinity});
  t.is(target.state().pausedUntil, MAX_PAUSE_MS);
  t.throws(() => target.apply({kind: 'shed', retryAfterMs: -1}), {
    instanceOf: RangeError,
  });
});

test('a cold upstream is given its slots step by step', t => {
  const target = createHarness(0, parameters());
  target.apply({kind: 'slots', slots: 8});
  const limits = [0, 100, 200, 400].map(at =>
    slotLimitAt(target.state(), target.now() + at),
  );
  t.deepEqual(limits, [2, 3, 5, 8]);
});

test('requests start no faster than the upstream says that it takes them', t => {
  const started: number[] = [];
  const target = createHarness(4, parameters(), ({verdicts}) =>
    started.push(...admittedIds(verdicts)),
  );
  target.apply({kind: 'limit', perSecond: 10});
  for (let id = 0; id < 400; id++) {
    const deadlineAt = target.now() + 250;
    target.apply({kind: 'arrive', request: request(id, {deadlineAt})});
    target.advance(10);
    for (const {request: running} of target.state().running) {
      target.apply({kind: 'finish', id: running.id, completion: 'ran'});
    }
  }
  // 4 s at 10 a second, of 100 requests a second that arrive.
  t.true(started.length <= 41, `${started.length} started`);
  t.true(started.length >= 36, `${started.length} started`);
});

test('what the limit of the upstream does not allow in time is refused at once', t => {
  const target = createHarness(4, parameters());
  target.apply({kind: 'limit', perSecond: 5});
  const arrive = (id: number) => {
    const deadlineAt = target.now() + 450;
    return target.apply({kind: 'arrive', request: request(id, {deadlineAt})});
  };
  t.deepEqual(arrive(1), []);
  t.deepEqual(arrive(2), []);
  const [refused] = arrive(3);
  t.like(refused, {kind: 'refused', reason: 'overloaded'});
  t.true(refused.kind === 'refused' && refused.retryAfterMs >= 500);
  t.deepEqual(
    admittedIds(target.apply({kind: 'limit', perSecond: undefined})),
    [1, 2],
  );
});
