import {fc, testProp} from '@fast-check/ava';
import type {ExecutionContext} from 'ava';
import type {
  AdmissionState,
  TrackedRequest,
} from '../../src/admission/index.js';
import {slotLimitAt, mayStart} from '../../src/admission/limit.js';
import {
  createHarness,
  parameters,
  request,
  type AppliedEvent,
  type Harness,
} from './fixtures.js';

const RUNS = {seed: 20261203, numRuns: 400} as const;
const SETTINGS = parameters();
const KEY_QUEUE_LIMIT = SETTINGS.queueLimit * SETTINGS.keyShare;

type Command =
  | {
      readonly kind: 'arrive';
      readonly caller: number;
      readonly priority: number;
      readonly key: number;
      readonly budgetMs: number;
    }
  | {readonly kind: 'finish'; readonly pick: number; readonly ran: boolean}
  | {readonly kind: 'cancel'; readonly pick: number}
  | {readonly kind: 'shed'; readonly retryAfterMs: number}
  | {readonly kind: 'slots'; readonly slots: number}
  | {readonly kind: 'restart'}
  | {readonly kind: 'limit'; readonly perSecond: number | undefined}
  | {readonly kind: 'advance'; readonly ms: number};

const arrival = fc.record({
  kind: fc.constant('arrive' as const),
  caller: fc.nat(3),
  priority: fc.nat(2),
  key: fc.nat(3),
  budgetMs: fc.integer({min: 1, max: 2000}),
});
const finish = fc.record({
  kind: fc.constant('finish' as const),
  pick: fc.nat(100),
  ran: fc.boolean(),
});
const command: fc.Arbitrary<Command> = fc.oneof(
  {weight: 8, arbitrary: arrival},
  {weight: 5, arbitrary: finish},
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.integer({min: 1, max: 120}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cancel' as const),
      pick: fc.nat(100),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('shed' as const),
      retryAfterMs: fc.nat(300),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('slots' as const),
      slots: fc.nat(6),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const)})},
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('limit' as const),
      perSecond: fc.option(fc.nat(30), {nil: undefined}),
    }),
  },
);

function keyOf(number: number): string | undefined {
  return number === 0 ? undefined : `k${number}`;
}

function execute(target: Harness, command: Command, id: number): void {
  const {running, waiting} = target.state();
  switch (command.kind) {
    case 'arrive': {
      const {priority, key, budgetMs} = command;
      const fields = {caller: `c${command.caller}`, priority, key: keyOf(key)};
      const deadlineAt = target.now() + budgetMs;
      target.apply({
        kind: 'arrive',
        request: request(id, {...fields, deadlineAt}),
      });
      return;
    }
    case 'finish': {
      if (running.length === 0) return;
      const {id} = running[command.pick % running.length].request;
      const completion = command.ran ? 'ran' : 'cut-short';
      target.apply({kind: 'finish', id, completion});
      return;
    }
    case 'cancel': {
      if (waiting.length === 0) return;
      const {id} = waiting[command.pick % waiting.length];
      target.apply({kind: 'cancel', id});
      return;
    }
    case 'advance':
      return target.advance(command.ms);
    default:
      target.apply(command);
  }
}

function countKey(
  requests: readonly TrackedRequest[],
  key: string | undefined,
): number {
  return requests.filter(other => other.key === key).length;
}

function checkState(t: ExecutionContext, state: AdmissionState, now: number) {
  const {waiting, progress} = state;
  const keys = waiting.flatMap(other => other.key ?? []);
  if (mayStart(state, now)) {
    t.is(waiting.length, 0, 'a slot is free while a request waits');
  }
  t.true(waiting.length <= SETTINGS.queueLimit);
  t.true(keys.every(key => countKey(waiting, key) <= KEY_QUEUE_LIMIT));
  t.true(progress.length <= (waiting.length === 0 ? 0 : 3));
  for (const other of waiting) t.true(now < other.latestStartAt);
}

function checkAdmission(
  t: ExecutionContext,
  applied: AppliedEvent,
  granted: TrackedRequest,
) {
  const {state, now} = applied;
  const {running, waiting, parameters} = state;
  const limit = slotLimitAt(state, now);
  t.true(running.length <= limit, 'more in flight than allowed');
  t.true(now < granted.deadlineAt);
  t.true(waiting.every(other => other.priority >= granted.priority));
  const keyLimit = Math.max(1, Math.floor(limit * parameters.keyShare));
  const held = running.map(entry => entry.request);
  if (!granted.key || countKey(held, granted.key) <= keyLimit) return;
  const passed = waiting.filter(
    other =>
      other.priority === granted.priority &&
      (!other.key || countKey(held, other.key) < keyLimit),
  );
  t.deepEqual(passed, [], 'a key over its share goes before a neighbour');
}

testProp(
  'slots are a hard limit and each request gets one answer, in order',
  [fc.array(command, {maxLength: 120})],
  (t, commands) => {
    const arrived = new Set<number>();
    const decided = new Set<number>();
    const observe = (applied: AppliedEvent) => {
      const {event, verdicts, state, now} = applied;
      if (event.kind === 'arrive') arrived.add(event.request.id);
      for (const verdict of verdicts) {
        t.false(decided.has(verdict.request.id), 'a second answer');
        decided.add(verdict.request.id);
        if (verdict.kind === 'admitted') {
          checkAdmission(t, applied, verdict.request);
        } else {
          t.true(verdict.retryAfterMs >= 0 && verdict.retryAfterMs <= 1e6);
        }
      }
      if (event.kind === 'cancel') t.true(decided.has(event.id));
      checkState(t, state, now);
    };
    const target = createHarness(4, SETTINGS, observe);
    commands.forEach((command, id) => execute(target, command, id));
    target.advance(1e5);
    t.deepEqual([...decided].sort(), [...arrived].sort());
    t.is(target.state().waiting.length, 0);
  },
  RUNS,
);

testProp(
  'a request without a near deadline is not starved inside its class',
  [fc.array(fc.nat(5), {minLength: 2 * SETTINGS.queueLimit, maxLength: 40})],
  (t, callers) => {
    const distant = request(1, {deadlineAt: Infinity});
    const target = createHarness(1, SETTINGS);
    target.apply({kind: 'arrive', request: request(0)});
    target.apply({kind: 'arrive', request: distant});
    for (const [index, caller] of callers.entries()) {
      const [{request: held}] = target.state().running;
      if (held.id === distant.id) return t.pass();
      const id = 100 + index;
      const name = caller === 0 ? `one-off ${id}` : `c${caller}`;
      target.apply({kind: 'arrive', request: request(id, {caller: name})});
      target.apply({kind: 'finish', id: held.id, completion: 'ran'});
    }
    return t.fail(`passed by ${callers.length} requests`);
  },
  RUNS,
);
