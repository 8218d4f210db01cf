import test from 'ava';
import {createRandom} from '../../src/load/random.js';
import {
  UNKNOWN_LOAD,
  applyLoadEvent,
  chooseInstance,
  chooseService,
  createRouteDurations,
  estimateMs,
  formatHop,
  parseHop,
  type Candidate,
  type InstanceLoad,
  type LoadEvent,
  type Route,
  type SplitState,
} from '../../src/relay/index.js';

const after = (...events: readonly LoadEvent[]): InstanceLoad =>
  events.reduce((load, event) => applyLoadEvent(load, event, 0), UNKNOWN_LOAD);

const report = (busy: number, meanMs = 100): LoadEvent => ({
  kind: 'reported',
  busy,
  slots: 4,
  meanMs,
  limitedMs: 0,
  intervalMs: 0,
});

const choice = (node: string, load: InstanceLoad): Candidate => ({
  node,
  isSameDomain: true,
  load,
});

test('an instance with free slots is preferred to a full one', t => {
  const choices = [
    choice('a', after(report(9))),
    choice('b', after(report(1))),
  ];
  t.is(chooseInstance(choices, 0)?.node, 'b');
});

test('a faster instance is preferred, and a failing one is avoided', t => {
  const fast = after(report(1, 60));
  const failing = after(
    ...Array.from({length: 10}, (): LoadEvent => ({
      kind: 'ended',
      failed: true,
    })),
    report(0, 40),
  );
  const slow = choice('slow', after(report(1)));
  t.true(estimateMs(choice('fast', fast), 0) < estimateMs(slow, 0));
  const choices = [choice('fails', failing), choice('fast', fast)];
  t.is(chooseInstance(choices, 0)?.node, 'fast');
});

test('an unreachable instance is avoided until it answers', t => {
  const lost = after(report(0), {kind: 'unreachable'});
  const busy = choice('busy', after(report(12)));
  t.is(chooseInstance([choice('lost', lost), busy], 1)?.node, 'busy');
  const back = applyLoadEvent(lost, {kind: 'reachable'}, 2);
  t.is(chooseInstance([choice('back', back), busy], 2)?.node, 'back');
  t.is(chooseInstance([choice('lost', lost)], 1)?.node, 'lost');
});

test('a long upload leaves its failure domain only if the local instances are full', t => {
  const upload = 60 * 1024;
  const far = {...choice('far', after(report(0, 100))), isSameDomain: false};
  const near = choice('near', after(report(3, 180)));
  t.is(chooseInstance([near, far], 0)?.node, 'far');
  t.is(chooseInstance([near, far], 0, upload)?.node, 'near');
  const full = choice('near', after(report(9, 180)));
  t.is(chooseInstance([full, far], 0, upload)?.node, 'far');
});

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  prefix: '/',
  repetition: 'idempotent',
  timeoutMs: 1000,
  objectiveMs: 400,
  maxAttempts: 2,
  priority: 1,
  parts: [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ],
};

test('a traffic split stays close to its weights in any sequence of requests', t => {
  let state: SplitState | undefined;
  let b = 0;
  for (let i = 1; i <= 200; i++) {
    const step = chooseService(ROUTE, state);
    state = step.state;
    if (step.service === 'b') b += 1;
    t.true(Math.abs(b - i * 0.1) <= 1);
  }
});

test('a formatted hop is parsed unchanged, and other values are rejected', t => {
  const hop = {
    id: 'q',
    service: 's',
    instance: 'i',
    route: 'r',
    repetition: 'once',
    priority: 3,
    leftMs: 500,
    objectiveLeftMs: -20,
    key: 7,
    callerService: 'c',
  } as const;
  t.deepEqual(parseHop(formatHop(hop)), hop);
  t.is(parseHop('{}'), undefined);
  t.is(parseHop('no JSON'), undefined);
});

/** Time at which the reports of `after` are old. */
const LATER_MS = 700;

/** Returns how many of some requests each instance gets before any answers. */
function spread(candidates: readonly Candidate[], requests: number): number[] {
  const random = createRandom(531);
  const counts = candidates.map(() => 0);
  let known = candidates;
  for (let sent = 0; sent < requests; sent++) {
    const chosen = chooseInstance(known, LATER_MS, 0, random);
    known = known.map((other, index) => {
      if (other !== chosen) return other;
      counts[index] += 1;
      const load = applyLoadEvent(other.load, {kind: 'sent'}, LATER_MS);
      return {...other, load};
    });
  }
  return counts;
}

// Guards against all daemons sending all requests to an instance that joins.
test('an instance that joins does not get nearly all requests until it answers', t => {
  const durations = createRouteDurations(() => 0);
  const known = Array.from({length: 24}, (_, index) => {
    const node = `known-${index}`;
    durations.observe(node, 'orders', 380);
    return choice(node, after(report(2, 380)));
  });
  const candidates = [...known, choice('joined', UNKNOWN_LOAD)].map(other => ({
    ...other,
    expectedMs: durations.expectedMs(other.node, 'orders'),
  }));
  const [joined] = spread(candidates, 100).slice(-1);
  t.true(joined > 0);
  t.true(joined <= 20, `${joined} of 100`);
});

test('an instance at its rate limit is not chosen while others are free', t => {
  const limited: LoadEvent = {
    ...report(1, 380),
    ...{limitedMs: 3000, intervalMs: 200},
  } as LoadEvent;
  const candidates = Array.from({length: 20}, (_, index) =>
    choice(`${index}`, after(index < 14 ? limited : report(1, 380))),
  );
  const counts = spread(candidates, 20);
  const atLimited = counts.slice(0, 14).reduce((sum, count) => sum + count, 0);
  t.is(atLimited, 0, `${atLimited} of 20`);
});

test('instances at which every request fails at once do not attract requests', t => {
  const failures = Array.from({length: 30}, (): LoadEvent => ({
    kind: 'ended',
    failed: true,
  }));
  const candidates = Array.from({length: 20}, (_, index) =>
    choice(
      `${index}`,
      index < 2 ? after(...failures, report(0, 4)) : after(report(0, 380)),
    ),
  );
  const [first, second] = spread(candidates, 20);
  t.true(first + second <= 2, `${first + second} of 20`);
});

// Guards against an instance that is passed by for good since it was slow once.
test('an instance that was slow is tried again once its statement is old', t => {
  let now = 0;
  const durations = createRouteDurations(() => now);
  for (const node of ['a', 'b', 'c', 'd']) durations.observe(node, 'view', 100);
  durations.observe('slow', 'view', 5000);
  t.is(durations.expectedMs('slow', 'view'), 5000);
  now = 9000;
  for (let round = 0; round < 40; round++) {
    durations.observe('a', 'view', 100);
  }
  t.is(durations.expectedMs('slow', 'view'), 5000);
  now = 11_000;
  const expectedMs = durations.expectedMs('slow', 'view') ?? NaN;
  t.true(expectedMs < 200, `${expectedMs}`);
});

test('instances of equal speed are expected to be equally fast after a route moved to them', t => {
  const durations = createRouteDurations(() => 0);
  for (let round = 0; round < 50; round++) {
    durations.observe(`before-${round % 10}`, 'orders', 380);
  }
  const nodes = Array.from({length: 10}, (_, index) => `after-${index}`);
  for (const node of nodes) durations.observe(node, 'orders', 20);
  const expected = nodes.map(
    node => durations.expectedMs(node, 'orders') ?? NaN,
  );
  const ratio = Math.max(...expected) / Math.min(...expected);
  t.true(ratio <= 2, `${ratio}`);
});
