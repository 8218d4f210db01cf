import test from 'ava';
import {createAdmission} from '../../src/admission/index.js';
import {rank, type Route} from '../../src/relay/index.js';

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
