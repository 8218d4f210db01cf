import type {FailureReason} from '../model/index.js';

/** What came of the time for which a request held a slot. */
export type SlotUse =
  /** Answered by the latency objective. */
  | 'inTime'
  /** Answered after it. */
  | 'late'
  /** Not answered, or not with an answer that could be passed on. */
  | 'failed'
  /** The caller left, or the deadline passed. */
  | 'abandoned';

/** Use of the slots of an instance over an interval. */
export interface SlotUsage {
  readonly intervalMs: number;
  /** Time that the slots offered, summed over the slots. */
  readonly offeredMs: number;
  /** Time for which a request held a slot, by its use; counted at its end. */
  readonly usedMs: Readonly<Record<SlotUse, number>>;
  /** Time for which no request held a slot. */
  readonly idleMs: number;
  /** Time that requests waited for a slot or a key before they started. */
  readonly waitedMs: number;
  readonly started: number;
  /** Requests refused at the instance, by reason. */
  readonly refused: ReadonlyMap<FailureReason, number>;
}

/** Measures the use of the slots of an instance. */
export interface SlotMeter {
  /** Records the slots and the running requests, at each change of either. */
  readonly recordOccupancy: (slots: number, running: number) => void;
  readonly recordStart: (waitedMs: number) => void;
  readonly recordEnd: (use: SlotUse, heldMs: number) => void;
  readonly recordRefusal: (reason: FailureReason) => void;
  /** Returns the usage since the last call, and begins a new interval. */
  readonly take: () => SlotUsage;
}

const UNUSED = {inTime: 0, late: 0, failed: 0, abandoned: 0};

/**
 * Creates a meter. Tells whether an instance that refuses requests is busy with
 * answers in time, with other work, or idle.
 *
 * @param clock Monotonic time in milliseconds.
 *
 * @example
 * const meter = createSlotMeter(() => performance.now());
 * meter.recordOccupancy(12, 3);
 * meter.take().idleMs;
 */
export function createSlotMeter(clock: () => number): SlotMeter {
  let startedAt = clock();
  let countedUntil = startedAt;
  let slots = 0;
  let running = 0;
  let offeredMs = 0;
  let idleMs = 0;
  let waitedMs = 0;
  let started = 0;
  let usedMs: Record<SlotUse, number> = {...UNUSED};
  let refused = new Map<FailureReason, number>();

  const count = () => {
    const now = clock();
    offeredMs += slots * (now - countedUntil);
    idleMs += Math.max(0, slots - running) * (now - countedUntil);
    countedUntil = now;
  };

  return {
    recordOccupancy: (currentSlots, currentlyRunning) => {
      count();
      slots = currentSlots;
      running = currentlyRunning;
    },
    recordStart: ms => {
      started += 1;
      waitedMs += ms;
    },
    recordEnd: (use, heldMs) => {
      usedMs[use] += heldMs;
    },
    recordRefusal: reason => {
      refused.set(reason, (refused.get(reason) ?? 0) + 1);
    },
    take: () => {
      count();
      const intervalMs = countedUntil - startedAt;
      const times = {intervalMs, offeredMs, usedMs, idleMs, waitedMs};
      const usage = {...times, started, refused};
      startedAt = countedUntil;
      [offeredMs, idleMs, waitedMs, started] = [0, 0, 0, 0];
      usedMs = {...UNUSED};
      refused = new Map();
      return usage;
    },
  };
}

/** Results of the requests of one route over an interval. */
export interface RouteResults {
  readonly service: string;
  readonly route: string;
  readonly inTime: number;
  readonly late: number;
  /** Requests without an answer, by reason. */
  readonly failed: ReadonlyMap<string, number>;
}

/** The same while they are counted. */
interface CountedResults extends RouteResults {
  inTime: number;
  late: number;
  readonly failed: Map<string, number>;
}

/** Counts the results of the requests of callers by route. */
export interface ResultMeter {
  /** @param reason Reason of the failure; undefined if it was answered. */
  readonly record: (
    service: string,
    route: string,
    isInTime: boolean,
    reason?: string,
  ) => void;
  /** Returns the results since the last call. */
  readonly take: () => readonly RouteResults[];
}

/**
 * Creates a meter of results.
 *
 * @example
 * const meter = createResultMeter();
 * meter.record('stock', 'view', false, 'overloaded');
 */
export function createResultMeter(): ResultMeter {
  let results: CountedResults[] = [];
  /** The same by route; a route has few services. */
  let byRoute = new Map<string, CountedResults[]>();
  const resultsOf = (service: string, route: string) => {
    const ofRoute = byRoute.get(route);
    const known = ofRoute?.find(other => other.service === service);
    if (known) return known;
    const failed = new Map<string, number>();
    const added = {service, route, inTime: 0, late: 0, failed};
    if (ofRoute) ofRoute.push(added);
    else byRoute.set(route, [added]);
    results.push(added);
    return added;
  };
  return {
    record: (service, route, isInTime, reason) => {
      const known = resultsOf(service, route);
      if (reason !== undefined)
        known.failed.set(reason, (known.failed.get(reason) ?? 0) + 1);
      else if (isInTime) known.inTime += 1;
      else known.late += 1;
    },
    take: () => {
      const taken = results;
      results = [];
      byRoute = new Map();
      return taken;
    },
  };
}
