import test from 'ava';
import {createAdmission} from '../../src/admission/index.js';
import {limitsOf, rank, type Route} from '../../src/relay/index.js';
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

/** Plays an overload of one instance in virtual time and counts what is served. */
async function play(ranks: typeof rank): Promise<Map<string, number>> {
  let now = 0;
  let timers: Timer[] = [];
  const served = new Map<string, number>();
  const admission = createAdmission({
    slots: 12,
    queue: 144,
    clock: () => now,
    schedule: (delayMs, run) => {
      const timer = {at: now + delayMs, run};
      timers.push(timer);
      return () => (timers = timers.filter(other => other !== timer));
    },
  });
  const arrive = async (route: Route, workMs: number, id: number) => {
    const deadlineAt = now + route.timeoutMs;
    const isShort = route === LOOK_UP;
    const urgency = ranks(route, isShort, now, deadlineAt);
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
      if (now > deadlineAt) return;
      served.set(route.name, (served.get(route.name) ?? 0) + 1);
    };
    timers.push({at: now + workMs, run});
  };
  for (let id = 0; now < 20_000; id++) {
    now += 5;
    const due = timers.filter(timer => timer.at <= now);
    timers = timers.filter(timer => timer.at > now);
    due.forEach(timer => timer.run());
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

interface Served {
  readonly inTime: number;
  readonly late: number;
  /** Requests that were started and missed their deadline. */
  readonly wasted: number;
}

/** Plays requests of uneven length that need nearly all slots of an instance. */
async function playBusy(setLimits: typeof limitsOf): Promise<Served> {
  const random = createRandom(5);
  let now = 0;
  let timers: Timer[] = [];
  const served = {inTime: 0, late: 0, wasted: 0};
  const admission = createAdmission({
    slots: 12,
    queue: 144,
    clock: () => now,
    schedule: (delayMs, run) => {
      const timer = {at: now + delayMs, run};
      timers.push(timer);
      return () => (timers = timers.filter(other => other !== timer));
    },
  });
  const arrive = async (id: number) => {
    const goal = {objectiveAt: now + 400, deadlineAt: now + 1200};
    const {estimates} = admission.state();
    const spreadMs = estimates[0]?.deviationMs ?? 0;
    const limits = setLimits(goal, spreadMs);
    const request = {service: 'view', caller: String(id)};
    let result = await admission.admit({
      ...request,
      priority: 1,
      deadlineAt: limits.objectiveAt,
    });
    if (result.kind === 'refused') {
      const {deadlineAt} = limits;
      result = await admission.admit({...request, priority: 101, deadlineAt});
    }
    if (result.kind === 'refused') return;
    const {release} = result;
    const run = () => {
      release('ran');
      if (now <= goal.objectiveAt) served.inTime += 1;
      else if (now <= goal.deadlineAt) served.late += 1;
      else served.wasted += 1;
    };
    timers.push({at: now + 70 + random() * 200, run});
  };
  for (let id = 0; now < 30_000; id++) {
    now += 1;
    const due = timers.filter(timer => timer.at <= now);
    timers = timers.filter(timer => timer.at > now);
    due.forEach(timer => timer.run());
    if (random() < 0.08) void arrive(id);
    for (let turn = 0; turn < 6; turn++) await Promise.resolve();
  }
  return served;
}

test('waiting by the mean time serves more within the objective', async t => {
  const after = await playBusy(limitsOf);
  const before = await playBusy(limits => limits);
  t.true(after.inTime > before.inTime);
  t.true(after.inTime + after.late >= before.inTime + before.late);
  t.true(after.wasted <= (after.inTime + after.late) * 0.01);
  t.log(before, after);
});
