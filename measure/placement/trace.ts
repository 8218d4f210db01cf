import type {Member, Service, Weights} from '../../src/model/index.js';
import {sum} from '../statistics.js';
import {randomInteger, randomNormal, seeded, type Random} from '../random.js';

/** The two users whose traces are replayed. */
export type Customer = 'newsroom' | 'rental';

/** A change of one instance. */
export interface Incident {
  readonly at: number;
  readonly kind: 'lose' | 'drain' | 'join';
  readonly instance: string;
}

/** Load on one slice for a time, on top of its plain load. */
export interface Surge {
  readonly slice: number;
  readonly from: number;
  readonly until: number;
  /** Slots in use at the height of the surge. */
  readonly load: number;
}

/** What happens to one service over time. Times are in milliseconds. */
export interface Trace {
  readonly name: string;
  readonly customer: Customer;
  readonly weights: Weights;
  readonly service: Service;
  readonly members: readonly Member[];
  readonly incidents: readonly Incident[];
  readonly surges: readonly Surge[];
  /** Plain load of each slice, in slots. */
  readonly baseLoads: readonly number[];
  readonly durationMs: number;
}

/** Size of a service and of its load. */
interface Shape {
  readonly customer: Customer;
  readonly instances: number;
  readonly slots: number;
  readonly domains: number;
  readonly regions: number;
  readonly slices: number;
  readonly chunks: number;
}

/** Share of all slots that the plain load uses. */
const BASE_UTILISATION = 0.45;

/** Spread of the plain load over the slices: sigma of a log-normal. */
const SLICE_SIGMA = 0.7;

/** Time in which a surge grows to its full load. */
const SURGE_RISE_MS = 30_000;

const MINUTE_MS = 60_000;

const WEIGHTS: Readonly<Record<Customer, Weights>> = {
  newsroom: {imbalance: 1, churn: 1, unavailable: 4},
  rental: {imbalance: 4, churn: 1, unavailable: 1},
};

const CURRENT_SHAPES: Readonly<Record<Customer, Shape>> = {
  newsroom: {
    customer: 'newsroom',
    instances: 6,
    slots: 12,
    domains: 4,
    regions: 1,
    slices: 256,
    chunks: 8,
  },
  rental: {
    customer: 'rental',
    instances: 5,
    slots: 6,
    domains: 4,
    regions: 1,
    slices: 256,
    chunks: 8,
  },
};

const LARGE_SIZE = {
  instances: 1200,
  domains: 6,
  regions: 2,
  slices: 16_384,
  chunks: 256,
};

/** Hot keys at the large size, and how often they change. */
const HOT_KEYS = 49;
const HOT_KEY_PERIOD_MS = 3 * MINUTE_MS;

/**
 * Lists the traces, the same for the same seed.
 *
 * @example
 * allTraces(1).map(trace => trace.name);
 */
export function allTraces(seed: number): readonly Trace[] {
  const {newsroom, rental} = CURRENT_SHAPES;
  return [
    breakingStory(newsroom, seed),
    festivalWeekend(rental, seed),
    domainsLost(newsroom, seed),
    domainsLost(rental, seed),
    rollingRestart(newsroom, seed),
    rollingRestart(rental, seed),
    hotKeysChange({...newsroom, ...LARGE_SIZE}, seed),
    hotKeysChange({...rental, ...LARGE_SIZE}, seed),
  ];
}

/**
 * Returns the true load of a slice at a time, in slots.
 *
 * @example
 * loadsAt(trace, 60_000)[7];
 */
export function loadsAt(trace: Trace, at: number): Float64Array {
  const loads = Float64Array.from(trace.baseLoads);
  for (const {slice, from, until, load} of trace.surges) {
    if (at < from || at >= until) continue;
    loads[slice] += load * Math.min(1, (at - from) / SURGE_RISE_MS);
  }
  return loads;
}

/** Three rotas get hot with a story; another three with the next. */
function breakingStory(shape: Shape, seed: number): Trace {
  const random = seeded(seed);
  const stories = [5 * MINUTE_MS, 25 * MINUTE_MS];
  const surges = stories.flatMap(from =>
    [5, 4, 3].map(load => {
      const slice = randomInteger(random, shape.slices);
      return {slice, from, until: from + 15 * MINUTE_MS, load};
    }),
  );
  const name = 'breaking story';
  return createTrace(shape, random, {name, surges, durationMs: 45 * MINUTE_MS});
}

/** The hot rigs change every ten minutes. */
function festivalWeekend(shape: Shape, seed: number): Trace {
  const random = seeded(seed + 1);
  const surges = [0, 1, 2, 3, 4, 5].flatMap(part =>
    [2.5, 2, 1.5].map(load => {
      const from = (5 + part * 10) * MINUTE_MS;
      const slice = randomInteger(random, shape.slices);
      return {slice, from, until: from + 10 * MINUTE_MS, load};
    }),
  );
  const name = 'festival weekend';
  return createTrace(shape, random, {name, surges, durationMs: 70 * MINUTE_MS});
}

/** Each failure domain is lost in its turn and is back eight minutes later. */
function domainsLost(shape: Shape, seed: number): Trace {
  const random = seeded(seed + 2);
  const incidents = createMembers(shape).flatMap(({instance, domain}) => {
    const at = (5 + 16 * Number(domain.slice(1))) * MINUTE_MS;
    return [
      {at, kind: 'lose' as const, instance},
      {at: at + 8 * MINUTE_MS, kind: 'join' as const, instance},
    ];
  });
  const name = 'domains lost in turn';
  return createTrace(shape, random, {
    name,
    incidents,
    durationMs: 69 * MINUTE_MS,
  });
}

/** Every instance drains in its turn and is back after half a minute. */
function rollingRestart(shape: Shape, seed: number): Trace {
  const random = seeded(seed + 3);
  const incidents = createMembers(shape).flatMap(({instance}, i) => {
    const at = (5 + 3 * i) * MINUTE_MS;
    return [
      {at, kind: 'drain' as const, instance},
      {at: at + MINUTE_MS / 2, kind: 'join' as const, instance},
    ];
  });
  const name = 'rolling restart';
  return createTrace(shape, random, {
    name,
    incidents,
    durationMs: 30 * MINUTE_MS,
  });
}

/** The hottest keys of a large fleet change every few minutes. */
function hotKeysChange(shape: Shape, seed: number): Trace {
  const random = seeded(seed + 4);
  const durationMs = 12 * MINUTE_MS;
  const surges: Surge[] = [];
  for (let from = 0; from < durationMs; from += HOT_KEY_PERIOD_MS) {
    for (let key = 0; key < HOT_KEYS; key++) {
      const slice = randomInteger(random, shape.slices);
      const load = (shape.slots / 3) * (0.5 + random() / 2);
      surges.push({slice, from, until: from + HOT_KEY_PERIOD_MS, load});
    }
  }
  const name = 'hot keys change, 1,200 instances';
  return createTrace(shape, random, {name, surges, durationMs});
}

function createTrace(
  shape: Shape,
  random: Random,
  parts: Pick<Trace, 'name' | 'durationMs'> & Partial<Trace>,
): Trace {
  return {
    customer: shape.customer,
    weights: WEIGHTS[shape.customer],
    service: createService(shape),
    members: createMembers(shape),
    incidents: [],
    surges: [],
    baseLoads: drawBaseLoads(shape, random),
    ...parts,
  };
}

function drawBaseLoads(shape: Shape, random: Random): readonly number[] {
  const raw = Array.from({length: shape.slices}, () =>
    Math.exp(SLICE_SIGMA * randomNormal(random)),
  );
  const total = shape.instances * shape.slots * BASE_UTILISATION;
  const scale = total / sum(raw);
  return raw.map(load => load * scale);
}

function createMembers(shape: Shape): readonly Member[] {
  const address = {host: '127.0.0.1', port: 1};
  return Array.from({length: shape.instances}, (_, i): Member => {
    const instance = `${shape.customer}-${i}`;
    return {
      instance,
      generation: 1,
      process: instance,
      state: 'serving',
      service: 'service',
      site: shape.customer,
      region: `r${i % shape.regions}`,
      domain: `d${i % shape.domains}`,
      callers: address,
      peers: address,
      control: address,
      slots: shape.slots,
      connections: 100,
      witnesses: {number: 1, witnesses: []},
    };
  });
}

function createService(shape: Shape): Service {
  return {
    name: 'service',
    pathPrefix: '/',
    key: {path: '/{key}'},
    slices: shape.slices,
    chunks: shape.chunks,
    priority: 1,
    deadlineMs: 1000,
    fencing: 'enforced',
    successors: 2,
  };
}
