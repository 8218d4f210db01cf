import test from 'ava';
import {meanMs as meanOf} from '../../src/admission/index.js';
import {createRandom} from '../../src/load/random.js';
import {
  UNKNOWN_LOAD,
  applyLoadEvent,
  applyQueueEvent,
  chooseInstance,
  createQueue,
  createRouteDurations,
  type InstanceLoad,
  type LoadEvent,
  type QueueState,
  type QueueVerdict,
} from '../../src/relay/index.js';

/** A fleet of daemons that share the instances of one service. */
interface Fleet {
  readonly daemons: number;
  readonly instances: number;
  /** Speeds of the instances, in turn. */
  readonly speeds: readonly number[];
  readonly slots: number;
  /** Mean duration of a request at speed 1, in milliseconds. */
  readonly meanMs: number;
  /** Share of the requests that take a fifteenth of that time. */
  readonly shortShare?: number;
  /** Share of the requests that instances answer with an error. */
  readonly errorShare?: number;
}

/** 80 daemons; each pair of daemons talks less than once a second. */
const LARGE: Fleet = {
  daemons: 80,
  instances: 24,
  speeds: [0.7, 0.7, 1.6],
  slots: 18,
  meanMs: 380,
};

/** 18 daemons that all talk to each instance several times a second. */
const SMALL: Fleet = {
  daemons: 18,
  instances: 4,
  speeds: [0.6, 1, 1.4],
  slots: 12,
  meanMs: 160,
};

/** The same with look-ups, as many as other requests. */
const MIXED: Fleet = {...LARGE, meanMs: 900, slots: 13, shortShare: 0.53};

/** The same with errors that have a cause elsewhere. */
const FAILING: Fleet = {...MIXED, errorShare: 0.3};

const OBJECTIVE_MS = 1200;
const DEADLINE_MS = 6000;
const MAX_FORWARDS = 6;
const TRANSIT_MS = 2;
const PLAY_MS = 20_000;

/** Requests that arrive until then are counted; all have ended by the end. */
const COUNTED_MS = PLAY_MS - DEADLINE_MS;

/** What the callers of a fleet got. */
interface Tally {
  /** Share of the requests that were answered by their latency objective. */
  readonly inTime: number;
  readonly served: number;
  /** Share of the slot time that was not used. */
  readonly idle: number;
  /** Arrivals at each instance, relative to its share of the capacity. */
  readonly arrivals: readonly number[];
}

interface Instance {
  readonly speed: number;
  state: QueueState;
  meanMs: number;
  arrived: number;
  busyMs: number;
}

interface Request {
  readonly id: number;
  readonly daemon: number;
  readonly route: 'order' | 'look-up';
  readonly arrivedAt: number;
  readonly refusedBy: Set<number>;
}

/** Plays requests that arrive at random at a share of the capacity. */
function play(fleet: Fleet, share: number, seed: number): Tally {
  const random = createRandom(seed);
  let now = 0;
  const {slots, meanMs, shortShare = 0, errorShare = 0} = fleet;
  const workMs = (isShort: boolean) => (isShort ? meanMs / 15 : meanMs);
  const overallMs =
    shortShare * workMs(true) + (1 - shortShare) * workMs(false);
  const instances = Array.from({length: fleet.instances}, (_, i): Instance => {
    const speed = fleet.speeds[i % fleet.speeds.length];
    const state = createQueue(slots);
    return {speed, state, meanMs: overallMs / speed, arrived: 0, busyMs: 0};
  });
  const loads = Array.from({length: fleet.daemons}, () =>
    instances.map(() => UNKNOWN_LOAD),
  );
  const durations = loads.map(() => createRouteDurations(() => now));
  const speedSum = instances.reduce((sum, {speed}) => sum + speed, 0);
  const perMs = (share * speedSum * slots) / overallMs;
  const events: {at: number; run: () => void}[] = [];
  const after = (ms: number, run: () => void) =>
    events.push({at: now + ms, run});
  let id = 0;
  let requests = 0;
  let inTime = 0;
  let served = 0;

  const observe = ({daemon}: Request, index: number, event: LoadEvent) => {
    loads[daemon][index] = applyLoadEvent(loads[daemon][index], event, now);
  };

  const report = (request: Request, index: number) => {
    const {state, meanMs: mean} = instances[index];
    const busy = state.running.length + state.waiting.length;
    const times = {meanMs: mean, limitedMs: 0, intervalMs: 0};
    observe(request, index, {kind: 'reported', busy, slots, ...times});
    const {daemon, route} = request;
    const routeMs = meanOf(state.estimates, route, now);
    durations[daemon].observe(String(index), route, routeMs);
    observe(request, index, {kind: 'ended', failed: random() < errorShare});
  };

  const settle = (index: number, verdicts: readonly QueueVerdict[]) => {
    for (const verdict of verdicts) {
      const request = waiting.get(verdict.id) as Request;
      if (verdict.kind === 'refuse') {
        waiting.delete(verdict.id);
        after(TRANSIT_MS, () => {
          report(request, index);
          request.refusedBy.add(index);
          if (hasFree(request)) send(request);
        });
        continue;
      }
      run(request, index);
    }
  };

  const run = (request: Request, index: number) => {
    const instance = instances[index];
    const tookMs =
      (workMs(request.route === 'look-up') / instance.speed) *
      -Math.log(1 - random());
    after(tookMs, () => {
      instance.busyMs += tookMs;
      instance.meanMs += 0.05 * (tookMs - instance.meanMs);
      const {id} = request;
      waiting.delete(id);
      const step = applyQueueEvent(
        instance.state,
        {kind: 'finish', id, ran: true},
        now,
      );
      instance.state = step.state;
      settle(index, step.verdicts);
      after(TRANSIT_MS, () => {
        report(request, index);
        const ms = now - request.arrivedAt;
        if (request.arrivedAt > COUNTED_MS) return;
        if (ms <= DEADLINE_MS) served += 1;
        if (ms <= OBJECTIVE_MS) inTime += 1;
      });
    });
  };

  const waiting = new Map<number, Request>();

  const loadOf = (request: Request, index: number): InstanceLoad =>
    loads[request.daemon][index];

  const hasFree = (request: Request) =>
    request.refusedBy.size < MAX_FORWARDS &&
    instances.some((_, index) => {
      if (request.refusedBy.has(index)) return false;
      const {reportedBusy, inFlight} = loadOf(request, index);
      return Math.max(reportedBusy, inFlight) < slots;
    });

  const send = (request: Request) => {
    const candidates = instances
      .map((_, index) => ({
        index,
        node: String(index),
        isSameDomain: true,
        load: loadOf(request, index),
        expectedMs: durations[request.daemon].expectedMs(
          String(index),
          request.route,
        ),
      }))
      .filter(({index}) => !request.refusedBy.has(index));
    const chosen = chooseInstance(candidates, now, 0, random);
    if (!chosen) return;
    const {index} = chosen;
    observe(request, index, {kind: 'sent'});
    after(TRANSIT_MS, () => {
      const instance = instances[index];
      instance.arrived += 1;
      waiting.set(request.id, request);
      const {id, arrivedAt} = request;
      const step = applyQueueEvent(
        instance.state,
        {
          kind: 'arrive',
          request: {
            id,
            kind: request.route,
            priority: 1,
            arrivedAt: now,
            objectiveAt: arrivedAt + OBJECTIVE_MS,
            deadlineAt: arrivedAt + DEADLINE_MS,
          },
        },
        now,
      );
      instance.state = step.state;
      settle(index, step.verdicts);
    });
  };

  const arrive = () => {
    const daemon = Math.floor(random() * fleet.daemons);
    id += 1;
    if (now <= COUNTED_MS) requests += 1;
    const route = random() < shortShare ? 'look-up' : 'order';
    send({id, daemon, route, arrivedAt: now, refusedBy: new Set()});
    after(-Math.log(1 - random()) / perMs, arrive);
  };

  arrive();
  while (now < PLAY_MS) {
    let next = 0;
    for (let i = 1; i < events.length; i++) {
      if (events[i].at < events[next].at) next = i;
    }
    const [{at, run: runEvent}] = events.splice(next, 1);
    now = at;
    runEvent();
  }
  const slotMs = instances.length * slots * now;
  const busyMs = instances.reduce((sum, instance) => sum + instance.busyMs, 0);
  const arrived = instances.reduce(
    (sum, instance) => sum + instance.arrived,
    0,
  );
  return {
    inTime: inTime / requests,
    served: served / requests,
    idle: 1 - busyMs / slotMs,
    arrivals: instances.map(
      instance => instance.arrived / arrived / (instance.speed / speedSum),
    ),
  };
}

/** Share of what a daemon achieves that sees each answer. */
const MIN_SHARE = 0.9;

// Guards against daemons that all choose the same instances by old reports, or by
// the kind of requests that these run (SHORT).
for (const [name, fleet] of Object.entries({LARGE, MIXED, FAILING, SMALL})) {
  for (const share of [0.5, 0.9, 1.2]) {
    test(`daemons spread requests about as well as if each saw all answers: ${name} at ${share}`, t => {
      const many = play(fleet, share, 531);
      const one = play({...fleet, daemons: 1}, share, 531);
      t.true(many.inTime >= MIN_SHARE * one.inTime);
      t.true(many.served >= MIN_SHARE * one.served);
    });
  }
}

// Guards against an instance that attracts more requests the more short ones it
// runs (SHORT).
test('an instance gets no more than twice its share of the requests', t => {
  for (const fleet of [LARGE, MIXED, FAILING]) {
    t.true(Math.max(...play(fleet, 0.9, 531).arrivals) <= 2);
  }
});
