import test from 'ava';
import fc from 'fast-check';
import {
  withRate,
  hasToken,
  takeToken,
  tokenAvailableAt,
} from '../../src/admission/index.js';
import {createRandom} from '../../src/load/random.js';
import {
  UNKNOWN_LOAD,
  applyLoadEvent,
  applyQueueEvent,
  chooseInstance,
  createQueue,
  createSlots,
  limitDelayMsOf,
  nextQueueTickAt,
  type InstanceLoad,
  type QueueEvent,
} from '../../src/relay/index.js';
import {
  NO_LIMIT,
  EMPTY_STATEMENT,
  updateLimit,
} from '../../src/upstream/index.js';
import {createVirtualTime} from './virtual.js';

const named = (limit: number, sentAt: number, ran = true) => ({
  statement: {...EMPTY_STATEMENT, limit},
  sentAt,
  ran,
});

const unnamed = (sentAt: number, ran = true) => ({
  statement: EMPTY_STATEMENT,
  sentAt,
  ran,
});

test('a rate limit stays until a later request is answered without one', t => {
  const known = updateLimit(NO_LIMIT, named(18.1, 900), 1000);
  t.is(known.perSecond, 18.1);
  t.is(updateLimit(known, unnamed(990), 1010).perSecond, 18.1);
  t.is(updateLimit(known, unnamed(1005, false), 1020).perSecond, 18.1);
  t.is(updateLimit(known, unnamed(1005), 1030).perSecond, undefined);
  t.is(updateLimit(known, named(0, 1005, false), 1030).perSecond, 0);
});

test('a malformed rate limit leaves the previous one in force', t => {
  const known = updateLimit(NO_LIMIT, named(5, 900), 1000);
  const problems = ['server-limit: NaN'];
  const statement = {...EMPTY_STATEMENT, problems};
  const answer = {statement, sentAt: 1100, ran: true};
  t.is(updateLimit(known, answer, 1200).perSecond, 5);
});

test('a rate limit is kept in every period, however it changes', t => {
  const step = fc.record({
    afterMs: fc.nat(400),
    perSecond: fc.option(fc.double({min: 1, max: 40, noNaN: true})),
  });
  const steps = fc.array(step, {minLength: 1, maxLength: 40});
  fc.assert(
    fc.property(steps, list => {
      let now = 0;
      let allowance = withRate(undefined, 40, now);
      const sent: number[] = [];
      for (const {afterMs, perSecond} of list) {
        for (const end = now + afterMs; now < end; now++) {
          if (!allowance || !hasToken(allowance, now)) continue;
          allowance = takeToken(allowance, now);
          sent.push(now);
        }
        // A null keeps the previous limit.
        if (perSecond !== null) {
          allowance = withRate(allowance, perSecond, now);
        }
      }
      const inSecond = (first: number) =>
        sent.filter(at => at >= first && at < first + 1000).length;
      // 40 a second and a burst of a fifth of a second.
      return sent.every(at => inSecond(at) <= 40 + 8 + 1);
    }),
    {seed: 20261204, numRuns: 300},
  );
  t.pass();
});

test('late timers of a busy process do not reduce the throughput of a rate limit', t => {
  let allowance = withRate(undefined, 10, 0);
  let sent = 0;
  for (let now = 0; allowance && now <= 8000;) {
    now = tokenAvailableAt(allowance, 0) + TIMER_DELAY_MS;
    while (hasToken(allowance, now)) {
      allowance = takeToken(allowance, now);
      sent += 1;
    }
  }
  t.true(sent >= 79, `${sent} sent of 80`);
});

/** Delay of each timer, in milliseconds. */
const TIMER_DELAY_MS = 60;

const request = (id: number, now: number) => ({
  id,
  kind: 'view',
  priority: 1,
  arrivedAt: now,
  objectiveAt: now + 400,
  deadlineAt: now + 1200,
});

test('a refusal by a rate limit states when the limit allows the request', t => {
  let state = createQueue(12);
  const apply = (event: QueueEvent, now: number) => {
    const step = applyQueueEvent(state, event, now);
    state = step.state;
    return step.verdicts;
  };
  apply({kind: 'limit', perSecond: 5}, 0);
  const verdicts = Array.from({length: 6}, (_, id) =>
    apply({kind: 'arrive', request: request(id, 0)}, 0),
  ).flat();
  // The first waits 200 ms, and no other can meet its objective.
  t.is(state.waiting.length, 1);
  t.is(verdicts.length, 5);
  for (const verdict of verdicts) {
    t.like(verdict, {kind: 'refuse', retryAfterMs: 400});
  }
  t.is(nextQueueTickAt(state), 200);
  t.like(apply({kind: 'tick'}, 200), [{kind: 'start', id: 0}]);
});

test('waiting requests start immediately when a rate limit ends', t => {
  const step = (state: ReturnType<typeof createQueue>, event: QueueEvent) =>
    applyQueueEvent(state, event, 0);
  const limited = step(createQueue(12), {kind: 'limit', perSecond: 8}).state;
  const first = {kind: 'arrive', request: request(1, 0)} as const;
  const waiting = step(limited, first).state;
  t.is(waiting.waiting.length, 1);
  const {state, verdicts} = step(waiting, {kind: 'limit'});
  t.deepEqual(verdicts, [{kind: 'start', id: 1}]);
  t.is(limitDelayMsOf(state, 0), 0);
});

/** Slots, rate limit and duration of work of the simulated instances. */
const SLOTS = 12;
const PER_SECOND = 13;
const WORK_MS = 120;
const LENGTH_MS = 20_000;

/**
 * Simulates requests that arrive at random at an instance with a rate limit.
 */
async function simulateHolder(perSecond: number) {
  const random = createRandom(7);
  const {after, advance, now} = createVirtualTime();
  const slots = createSlots({slots: SLOTS, clock: now, schedule: after});
  slots.setRateLimit(PER_SECOND);
  const startedAt: number[] = [];
  const refusedMs: number[] = [];
  let arrived = 0;
  let inTime = 0;
  const arrive = async () => {
    const at = now();
    const {objectiveAt, ...claim} = request(0, at);
    const signal = () => new AbortController().signal;
    const grant = await slots.acquire({...claim, objectiveAt}, signal);
    if (grant.kind === 'denied') {
      refusedMs.push(now() - at);
      return;
    }
    startedAt.push(now());
    after(WORK_MS, () => {
      grant.release(true);
      if (now() <= objectiveAt) inTime += 1;
    });
  };
  while (now() < LENGTH_MS) {
    await advance(1);
    if (random() >= perSecond / 1000) continue;
    arrived += 1;
    void arrive();
  }
  return {arrived, inTime, startedAt, refusedMs};
}

test('a holder under a load of six times its rate limit answers up to the limit in time', async t => {
  const {arrived, inTime, startedAt, refusedMs} = await simulateHolder(
    6 * PER_SECOND,
  );
  const allowed = (LENGTH_MS / 1000) * PER_SECOND;
  t.true(arrived > 5 * allowed);
  t.true(startedAt.length <= allowed + 2);
  t.true(inTime >= 0.95 * allowed, `${inTime} of ${allowed} in time`);
  const sum = refusedMs.reduce((all, ms) => all + ms, 0);
  t.true(sum / refusedMs.length < 20);
  t.true(Math.max(...refusedMs) <= 400);
});

test('a holder under a load below its rate limit refuses hardly any request', async t => {
  const {arrived, inTime} = await simulateHolder(0.7 * PER_SECOND);
  t.true(inTime >= 0.95 * arrived, `${inTime} of ${arrived} in time`);
});

/**
 * Simulates a service without keys with four instances, one of which has a rate
 * limit.
 *
 * @param entries Daemons that receive requests; each has its own load reports.
 * @param hasLimitReports The load reports contain the rate limit.
 */
async function simulateService(
  entries: number,
  hasLimitReports: boolean,
  perSecond = 150,
) {
  const random = createRandom(11);
  const {after, advance, now} = createVirtualTime();
  const instances = Array.from({length: 4}, (_, index) => ({
    node: `n${index}`,
    slots: createSlots({slots: SLOTS, clock: now, schedule: after}),
    starts: 0,
  }));
  instances[0].slots.setRateLimit(PER_SECOND);
  const known = Array.from(
    {length: entries},
    () => new Map<string, InstanceLoad>(),
  );
  let arrived = 0;
  let refusals = 0;
  let served = 0;
  const arrive = async (loads: Map<string, InstanceLoad>) => {
    const at = now();
    const tried = new Set<string>();
    for (;;) {
      const choices = instances
        .filter(({node}) => !tried.has(node))
        .map(({node}) => ({
          node,
          isSameDomain: true,
          load: loads.get(node) ?? UNKNOWN_LOAD,
        }));
      const choice = chooseInstance(choices, now());
      const instance = instances.find(({node}) => node === choice?.node);
      if (!instance) return;
      const {node, slots} = instance;
      const before = loads.get(node) ?? UNKNOWN_LOAD;
      loads.set(node, applyLoadEvent(before, {kind: 'sent'}, now()));
      const signal = () => new AbortController().signal;
      const grant = await slots.acquire(request(0, at), signal);
      if (grant.kind === 'granted') {
        instance.starts += 1;
        await new Promise<void>(resolve => after(WORK_MS, resolve));
        grant.release(true);
      }
      const {running, waiting, allowance} = slots.state();
      const limit = {
        limitedMs: limitDelayMsOf(slots.state(), now()),
        intervalMs: allowance ? 1000 / allowance.perSecond : 0,
      };
      const load = {
        kind: 'reported' as const,
        busy: running.length + waiting.length,
        slots: SLOTS,
        meanMs: WORK_MS,
        ...(hasLimitReports ? limit : {limitedMs: 0, intervalMs: 0}),
      };
      const sent = loads.get(node) ?? UNKNOWN_LOAD;
      const ended = applyLoadEvent(sent, {kind: 'ended', failed: false}, now());
      loads.set(node, applyLoadEvent(ended, load, now()));
      if (grant.kind === 'granted') {
        served += 1;
        return;
      }
      refusals += 1;
      tried.add(node);
    }
  };
  while (now() < LENGTH_MS) {
    await advance(1);
    if (random() >= perSecond / 1000) continue;
    arrived += 1;
    void arrive(known[Math.floor(random() * entries)]);
  }
  for (let timeMs = 0; timeMs < 1000; timeMs++) await advance(1);
  return {arrived, served, refusals, starts: instances[0].starts};
}

for (const entries of [18, 194]) {
  test(`${entries} daemons serve all requests although one of four instances is rate-limited`, async t => {
    const {arrived, served, refusals, starts} = await simulateService(
      entries,
      true,
    );
    t.is(served, arrived);
    t.true(starts <= (LENGTH_MS / 1000 + 1) * PER_SECOND + 2);
    const withoutReports = await simulateService(entries, false);
    t.true(
      refusals < withoutReports.refusals,
      `${refusals} of ${arrived} refused once, ${withoutReports.refusals} without limit reports`,
    );
  });
}

test('an overloaded service uses the full rate limit of a limited instance', async t => {
  const {starts} = await simulateService(18, true, 400);
  t.true(starts >= (LENGTH_MS / 1000) * PER_SECOND * 0.9, `${starts} started`);
});
