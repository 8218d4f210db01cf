import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  ADMISSION_EVENTS,
  countForwarded,
  createAdmission,
  createRetryBudget,
  spendRetry,
  type AdmissionOptions,
} from '../../src/admission/index.js';
import {createMetrics, type EventKind} from '../../src/telemetry/index.js';

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** An admission on a clock that the test moves. */
function manualAdmission(options: Partial<AdmissionOptions> = {}) {
  let now = 0;
  const timers = new Set<Timer>();
  const schedule = (delayMs: number, run: () => void) => {
    const timer = {at: now + delayMs, run};
    timers.add(timer);
    return () => void timers.delete(timer);
  };
  const clock = () => now;
  const common = {slots: 1, queue: 4, clock, schedule};
  const admission = createAdmission({...common, ...options});
  const advance = (ms: number) => {
    now += ms;
    for (const timer of [...timers].filter(timer => timer.at <= now)) {
      timers.delete(timer);
      timer.run();
    }
  };
  const admit = (deadlineAt = 1000, signal?: AbortSignal) =>
    admission.admit({
      service: 'rota',
      priority: 1,
      caller: 'a',
      deadlineAt,
      signal,
    });
  return {...admission, admission, admit, advance, timers};
}

test('a slot goes to the next request once, however often it is released', async t => {
  const target = manualAdmission();
  const first = await target.admit();
  const second = target.admit();
  const third = target.admit();
  if (first.kind !== 'admitted') return t.fail();
  first.release();
  first.release();
  t.is((await second).kind, 'admitted');
  t.is(target.state().running.length, 1);
  const next = await second;
  if (next.kind === 'admitted') next.release();
  t.is((await third).kind, 'admitted');
  return t.is(target.state().waiting.length, 0);
});

test('a caller that goes is answered at once and frees its place', async t => {
  const target = manualAdmission();
  await target.admit();
  const controller = new AbortController();
  const waiting = target.admit(1000, controller.signal);
  controller.abort();
  t.like(await waiting, {kind: 'refused', reason: 'cancelled'});
  t.is(target.state().waiting.length, 0);
  t.like(await target.admit(1000, AbortSignal.abort()), {reason: 'cancelled'});
  t.is(target.state().waiting.length, 0);
});

test('an answer that is known comes at once and reads no signal', t => {
  const target = manualAdmission({queue: 0});
  const common = {service: 'rota', priority: 1, caller: 'a', deadlineAt: 1000};
  const request = {
    ...common,
    get signal(): AbortSignal {
      throw new Error('the signal was read');
    },
  };
  t.like(target.admission.admit(request), {kind: 'admitted'});
  t.like(target.admission.admit(request), {kind: 'refused'});
});

test('a waiting request is given up by the timer', async t => {
  const target = manualAdmission();
  await target.admit();
  const waiting = target.admit(50);
  target.advance(49);
  t.is(target.state().waiting.length, 1);
  target.advance(1);
  t.like(await waiting, {kind: 'refused', reason: 'overloaded'});
  t.is(target.timers.size, 0);
});

test('a pause ends by the timer', async t => {
  const target = manualAdmission();
  target.recordShed(200);
  const waiting = target.admit();
  target.advance(200);
  t.is((await waiting).kind, 'admitted');
});

test('verdicts are counted and refusals logged once for an interval', async t => {
  const metrics = createMetrics();
  const logged: EventKind[] = [];
  const log = (kind: EventKind) => void logged.push(kind);
  const target = manualAdmission({queue: 0, metrics, log});
  for (let i = 0; i < 4; i++) await target.admit();
  const text = await metrics.text();
  t.regex(text, /verdicts_total{service="rota",verdict="admitted"} 1/);
  t.regex(text, /verdicts_total{service="rota",verdict="overloaded"} 3/);
  t.regex(text, /admission_running_requests 1/);
  t.deepEqual(logged, [ADMISSION_EVENTS.refusing]);
});

test('a retry may leave some of the budget to others', t => {
  const budget = createRetryBudget({share: 0.1, reserve: 3});
  const left = spendRetry(spendRetry(budget, 1)!, 1);
  t.is(left?.tokens, 1);
  t.is(spendRetry(left!, 1), undefined);
  t.is(spendRetry(left!)?.tokens, 0);
});

testProp(
  'retries stay under their share of the forwarded requests and the reserve',
  [
    fc.array(fc.boolean(), {minLength: 1, maxLength: 300}),
    fc.integer({min: 0, max: 10}),
  ],
  (t, attempts, tenths) => {
    const share = tenths / 10;
    let budget = createRetryBudget({share, reserve: 3});
    let forwarded = 0;
    let retried = 0;
    for (const isRetry of attempts) {
      const spent = isRetry ? spendRetry(budget) : undefined;
      if (!isRetry) forwarded++;
      if (spent) retried++;
      budget = isRetry ? (spent ?? budget) : countForwarded(budget);
      t.true(retried <= share * forwarded + 3 + 1e-6);
    }
  },
  {seed: 7},
);
