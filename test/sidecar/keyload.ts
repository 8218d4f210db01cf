import {
  EMPTY_VIEW,
  applyChange,
  memberKey,
  rangesKey,
  type FleetView,
} from '../../src/fleet/index.js';
import {
  EMPTY_MAP,
  LAST_KEY,
  release,
  type RangeMap,
} from '../../src/ranges/index.js';
import {createPlanner, type InstanceStatus} from '../../src/sidecar/index.js';
import {createLoadMeter} from '../../src/sidecar/loadmeter.js';
import type {ObjectStore} from '../../src/store/index.js';

const SERVICE = 'stock';
const INSTANCES = 30;
const SLOTS = 18;

/** Speeds of the instances, in turn. */
const SPEEDS = [0.5, 1, 1, 1.5];

/** Mean duration of a request at an instance of speed 1, in milliseconds. */
const MEAN_MS = 600;
const STEP_MS = 100;
const PLAN_INTERVAL_MS = 1000;
const KEYS = LAST_KEY + 1;

/** The other keys are not requested. */
const REQUESTED_KEYS = 60_000;

const LEASE_MS = 5000;

/** Time in which a request has to be answered, in milliseconds. */
const OBJECTIVE_MS = 2000;

/** Attempts after a refusal, each after a pause. */
const RETRIES = 2;

/**
 * The busiest key; others follow it in the order of their rates, which fall with
 * this power of their rank.
 */
const BUSIEST_KEY = 54_700;
const RATE_EXPONENT = 0.61;

/** A single key that may be hot, among keys that are hardly requested. */
const HOT_KEY = 30_000;

/** Greatest deviation of a duration from the mean, as a share of it. */
const SPREAD = 0.3;

/** Mean pause before another attempt. */
const RETRY_PAUSE_MS = 250;

/** Traffic of a simulated service whose busy keys are close to one another. */
export interface KeyLoadSettings {
  /** Requests for keys per second, as a share of what all instances execute. */
  readonly load: number;
  /** Share of the requests that are for a single key. */
  readonly hotKeyShare: number;
  /** Multiple of its capacity from which a daemon answers no probes. */
  readonly silentFrom: number;
  readonly seed: number;
}

/** What happened in a second of a simulation. */
export interface KeyLoadSecond {
  /** Share of the requests that were executed. */
  readonly servedShare: number;
  /** Share of the slot time that was idle. */
  readonly idleShare: number;
  /** Highest number of requests at an instance, as a multiple of its capacity. */
  readonly highestLoad: number;
  /** Share of all keys that changed hands. */
  readonly movedShare: number;
  readonly moves: number;
}

/** Returns a generator of numbers from 0 to less than 1 (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/**
 * Plays the traffic of a keyed service, and the plans of its planner, in virtual
 * time. A request is refused when it could not be answered in time.
 *
 * @example
 * const seconds = await playKeyLoad({...SETTINGS, seed: 1}, 20);
 */
export async function playKeyLoad(
  settings: KeyLoadSettings,
  seconds: number,
): Promise<readonly KeyLoadSecond[]> {
  const random = createRandom(settings.seed);
  let now = 0;
  let version = 1;
  let moves = 0;
  let movedKeys = 0;
  let view: FleetView = EMPTY_VIEW;
  const nodes = Array.from({length: INSTANCES}, (_, index) => {
    const node = `10.1.0.${100 + index}:7620`;
    const life = {node, id: `i-${node}`, born: 1};
    const speed = SPEEDS[index % SPEEDS.length];
    return {
      ...{node, life, speed, meter: createLoadMeter(() => now)},
      slots: new Array<number>(SLOTS).fill(0),
      ends: [] as {readonly at: number; readonly tookMs: number}[],
      ...{arrived: 0, lastArrived: 0},
    };
  });
  type Instance = (typeof nodes)[number];
  const byNode = new Map(nodes.map(instance => [instance.node, instance]));
  const write = (key: string, value: string) => {
    version += 1;
    view = applyChange(view, {key, value, version}).view;
  };
  for (const {node, life} of nodes) {
    const state = {slots: SLOTS, state: 'ready', stopping: false};
    const member = {...life, domain: 'a', service: SERVICE, ...state};
    write(memberKey(node), JSON.stringify(member));
  }
  const mapOf = (): RangeMap => view.maps.get(SERVICE)?.value ?? EMPTY_MAP;
  const capacityOf = ({speed}: Instance) => (SLOTS * 1000 * speed) / MEAN_MS;
  const statusOf = (instance: Instance): InstanceStatus | undefined => {
    const {meter, life, lastArrived} = instance;
    const load = lastArrived / capacityOf(instance);
    if (load > settings.silentFrom) return undefined;
    const capacity = (SLOTS * 1000) / Math.max(1, meter.meanMs());
    const {id, born} = life;
    const isAssumed = !meter.isMeasured();
    const heat = meter.heat();
    return {id, born, silent: false, capacity, isAssumed, heat};
  };
  const planner = createPlanner({
    store: {
      put: (key: string, value: string) => {
        write(key, value);
        return Promise.resolve({kind: 'stored', version});
      },
    } as unknown as ObjectStore,
    view: () => view,
    observeChange: () => {},
    log: () => {},
    readThroughPeer: () => Promise.resolve(undefined),
    node: nodes[0].node,
    clock: () => now,
    leaseMs: LEASE_MS,
    probe: node => {
      const instance = byNode.get(node);
      return Promise.resolve(instance && statusOf(instance));
    },
    probeThrough: () => Promise.resolve(undefined),
    peerState: () => ({liveness: 'alive', quietMs: 0, failingMs: 0}),
  });
  /** Lets holders release the keys that move away from them. */
  const finishMoves = () => {
    let map = mapOf();
    const moving = map.terms.filter(({state}) => state === 'moving');
    moves += moving.length;
    for (const {from, to} of moving) movedKeys += to - from + 1;
    for (const {from, to, holder} of moving)
      map = release(map, holder, [{from, to, handover: 'h'}]);
    if (moving.length > 0) write(rangesKey(SERVICE), JSON.stringify(map));
  };

  const chooseKey = () => {
    if (random() < settings.hotKeyShare) return HOT_KEY;
    const rank = random() ** (1 / (1 - RATE_EXPONENT));
    return (BUSIEST_KEY + Math.floor(rank * REQUESTED_KEYS)) % KEYS;
  };
  const holderOf = (key: number) => {
    const term = mapOf().terms.find(({from, to}) => key >= from && key <= to);
    return term && byNode.get(term.holder.node);
  };
  let waiting: {
    readonly at: number;
    readonly key: number;
    readonly left: number;
  }[] = [];
  const attempt = (key: number, left: number): boolean => {
    const instance = holderOf(key);
    if (!instance) return false;
    instance.meter.recordRequest(key);
    instance.arrived += 1;
    const {slots} = instance;
    const first = slots.indexOf(Math.min(...slots));
    const startAt = Math.max(now, slots[first]);
    const longestMs = (MEAN_MS * (1 + SPREAD)) / instance.speed;
    if (startAt + longestMs > now + OBJECTIVE_MS) {
      const pauseMs = RETRY_PAUSE_MS * (0.5 + random());
      if (left > 0) waiting.push({at: now + pauseMs, key, left: left - 1});
      return false;
    }
    const factor = 1 + SPREAD * (2 * random() - 1);
    const tookMs = (MEAN_MS * factor) / instance.speed;
    slots[first] = startAt + tookMs;
    instance.ends.push({at: startAt + tookMs, tookMs});
    return true;
  };

  const perSecond =
    settings.load * nodes.reduce((sum, node) => sum + capacityOf(node), 0);
  // The first map is assigned before the first request.
  while (mapOf().terms.length === 0) {
    await planner.tick(SERVICE);
    now += PLAN_INTERVAL_MS;
  }
  const report: KeyLoadSecond[] = [];
  for (let second = 0; second < seconds; second++) {
    let sent = 0;
    let served = 0;
    let idleMs = 0;
    moves = 0;
    movedKeys = 0;
    for (const instance of nodes) {
      instance.lastArrived = instance.arrived;
      instance.arrived = 0;
    }
    finishMoves();
    for (let step = 0; step < 1000 / STEP_MS; step++) {
      const count = (perSecond * STEP_MS) / 1000;
      const due = waiting.filter(({at}) => at <= now);
      waiting = waiting.filter(({at}) => at > now);
      for (const {key, left} of due) if (attempt(key, left)) served += 1;
      for (let index = 0; index < count; index++) {
        now += STEP_MS / count;
        sent += 1;
        if (attempt(chooseKey(), RETRIES)) served += 1;
      }
      now = Math.round(now / STEP_MS) * STEP_MS;
      for (const {slots, ends, meter} of nodes) {
        for (const end of slots)
          idleMs += Math.min(STEP_MS, Math.max(0, now - end));
        for (const {tookMs} of ends.filter(({at}) => at <= now))
          meter.recordDuration(tookMs);
        const left = ends.filter(({at}) => at > now);
        ends.splice(0, ends.length, ...left);
      }
    }
    await planner.tick(SERVICE);
    report.push({
      servedShare: served / sent,
      idleShare: idleMs / (nodes.length * SLOTS * 1000),
      highestLoad: Math.max(...nodes.map(n => n.arrived / capacityOf(n))),
      movedShare: movedKeys / KEYS,
      moves,
    });
  }
  return report;
}
