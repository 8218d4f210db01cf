/** Load of one instance, as this daemon knows it. */
export interface InstanceLoad {
  /** Requests that run or wait there, as last reported. */
  readonly reportedBusy: number;
  readonly slots: number;
  /** Mean time that a request takes there, in milliseconds. */
  readonly meanMs: number;
  /** Time at which its rate limit allows one more request, in milliseconds. */
  readonly limitedUntil: number;
  /** Interval of requests that its rate limit allows; 0 without a limit. */
  readonly intervalMs: number;
  /** Requests of this daemon that are in flight there. */
  readonly inFlight: number;
  /** Requests of this daemon that were in flight at the time of the report. */
  readonly inFlightAtReport: number;
  /** Time of the report, in milliseconds. */
  readonly reportedAt: number;
  /** Moving share of failed requests, from 0 to 1. */
  readonly failures: number;
  /** Consecutive failed probes. */
  readonly failedProbes: number;
  /**
   * Time until which the failed daemon is avoided, in milliseconds: requests
   * with keys are refused, others prefer another instance.
   */
  readonly avoidedUntil: number;
  /**
   * Time until which other instances are preferred because the daemon is
   * suspected, in milliseconds.
   */
  readonly suspectedUntil: number;
}

/** Load of an instance without any report. */
export const UNKNOWN_LOAD: InstanceLoad = {
  reportedBusy: 0,
  slots: 1,
  meanMs: 0,
  limitedUntil: 0,
  intervalMs: 0,
  inFlight: 0,
  inFlightAtReport: 0,
  reportedAt: 0,
  failures: 0,
  failedProbes: 0,
  avoidedUntil: 0,
  suspectedUntil: 0,
};

/** An event that changes the load of an instance. */
export type LoadEvent =
  | {readonly kind: 'sent'}
  | {readonly kind: 'ended'; readonly failed: boolean}
  | {
      readonly kind: 'reported';
      readonly busy: number;
      readonly slots: number;
      readonly meanMs: number;
      readonly limitedMs: number;
      readonly intervalMs: number;
    }
  /** The daemon has failed. */
  | {readonly kind: 'unreachable'}
  /** The daemon is suspected: it answers later than others, or not at all. */
  | {readonly kind: 'suspected'}
  /** A probe on a new connection was answered. */
  | {readonly kind: 'reachable'};

const REACHABLE = {failedProbes: 0, avoidedUntil: 0, suspectedUntil: 0};

/** Weight of the newest result in the moving share of failures. */
const FAILURE_WEIGHT = 0.1;

/**
 * Half-life of the weight of a report against the usual usage of the instances,
 * in milliseconds.
 */
const REPORT_HALF_LIFE_MS = 2000;

/**
 * Time for which a failed or suspected instance is avoided, in milliseconds;
 * ends early when the daemon beside it answers a probe.
 */
const AVOID_MS = 3000;

/**
 * Added to the estimate of an instance at which every request fails, in
 * milliseconds.
 */
const FAILURE_COST_MS = 1500;

/**
 * Added for an instance in another failure domain, in milliseconds: the network
 * latency of request and answer.
 */
const DOMAIN_COST_MS = 20;

/**
 * Added for each kilobyte of request and answer that crosses failure domains,
 * in milliseconds, as that traffic is charged by volume. A long upload or
 * download leaves its domain only if it would otherwise wait for about as long
 * as it takes.
 */
const DOMAIN_COST_MS_PER_KB = 2;

const BYTES_PER_KB = 1024;

/**
 * Applies an event to the load of an instance.
 *
 * @example
 * applyLoadEvent(UNKNOWN_LOAD, {kind: 'sent'}, now).inFlight; // 1
 */
export function applyLoadEvent(
  load: InstanceLoad,
  event: LoadEvent,
  now: number,
): InstanceLoad {
  switch (event.kind) {
    case 'sent':
      return {...load, inFlight: load.inFlight + 1};
    case 'ended': {
      const share = event.failed ? 1 : 0;
      const failures = load.failures + FAILURE_WEIGHT * (share - load.failures);
      return {...load, failures, inFlight: Math.max(0, load.inFlight - 1)};
    }
    case 'reported': {
      const {busy, slots, meanMs, limitedMs, intervalMs} = event;
      return {
        ...load,
        reportedBusy: busy,
        slots,
        meanMs,
        limitedUntil: now + limitedMs,
        intervalMs,
        inFlightAtReport: load.inFlight,
        reportedAt: now,
        ...REACHABLE,
      };
    }
    case 'unreachable': {
      const failedProbes = load.failedProbes + 1;
      return {...load, failedProbes, avoidedUntil: now + AVOID_MS};
    }
    case 'suspected': {
      const failedProbes = load.failedProbes + 1;
      return {...load, failedProbes, suspectedUntil: now + AVOID_MS};
    }
    case 'reachable':
      return {...load, ...REACHABLE};
  }
}

/** What the instances of a service have in common, by their last reports. */
export interface UsualLoad {
  /** Share of the slots that are in use. */
  readonly usage: number;
  readonly slots: number;
  readonly meanMs: number;
}

const NO_USUAL_LOAD: UsualLoad = {usage: 0, slots: 1, meanMs: 0};

/**
 * Estimates the time that a new request takes at an instance, in milliseconds:
 * the wait for a slot, the work, and penalties for failures and distance.
 *
 * @example
 * estimateMs({node, isSameDomain: true, load}, performance.now());
 */
export function estimateMs(
  candidate: Candidate,
  now: number,
  bytes = 0,
  usual = NO_USUAL_LOAD,
): number {
  const {load, isSameDomain} = candidate;
  const {inFlight, inFlightAtReport} = load;
  const {slots, meanMs} = shapeOf(load, usual);
  const weight = 2 ** ((load.reportedAt - now) / REPORT_HALF_LIFE_MS);
  const reportedOthers = Math.max(0, load.reportedBusy - inFlightAtReport);
  const usualBusy = usual.usage * slots;
  const busy = inFlight + reportedOthers * weight + usualBusy * (1 - weight);
  const queue = Math.max(0, busy + 1 - slots) / slots;
  const usage = busy / slots;
  const workMs = Math.max(candidate.expectedMs ?? meanMs, 1);
  const failMs = load.failures * FAILURE_COST_MS;
  const kilobytes = bytes / BYTES_PER_KB;
  const farMs = isSameDomain
    ? 0
    : DOMAIN_COST_MS + kilobytes * DOMAIN_COST_MS_PER_KB;
  // Assumes that another daemon has sent one request since the report.
  const limitMs = limitDelayMs(load, now) + load.intervalMs;
  const waitMs = Math.max(meanMs, 1) * queue;
  return (
    workMs * (1 + USAGE_WEIGHT * usage) + waitMs + limitMs + failMs + farMs
  );
}

/** Tells whether an instance has reported its load. */
function isReported({meanMs}: InstanceLoad): boolean {
  return meanMs > 0;
}

/** Returns the slots and durations of an instance; the usual ones by default. */
function shapeOf(
  load: InstanceLoad,
  usual: UsualLoad,
): Pick<InstanceLoad, 'slots' | 'meanMs'> {
  return isReported(load) ? load : usual;
}

/**
 * Returns the time until the rate limit of an instance allows one more request,
 * in milliseconds, after the requests sent there since its report.
 *
 * @example
 * limitDelayMs(UNKNOWN_LOAD, performance.now()); // 0
 */
export function limitDelayMs(load: InstanceLoad, now: number): number {
  const {limitedUntil, intervalMs, inFlight, inFlightAtReport} = load;
  if (intervalMs === 0) return 0;
  const sentSince = Math.max(0, inFlight - inFlightAtReport);
  return Math.max(0, limitedUntil - now) + sentSince * intervalMs;
}

/** Weight of the usage of the slots while no request has to wait for one. */
const USAGE_WEIGHT = 0.3;

/** Whether a request to a daemon has to wait for a connection. */
export type ConnectionState =
  /** There is a connection, or none is needed. */
  | 'usable'
  | 'none'
  | 'opening'
  /** The last attempt failed, or the connection has fallen silent. */
  | 'failed';

/** An instance to which a request may be sent. */
export interface Candidate {
  readonly node: string;
  /** The instance is in the own failure domain. */
  readonly isSameDomain: boolean;
  readonly connection: ConnectionState;
  readonly load: InstanceLoad;
  /** Expected duration of the request there, in milliseconds, if known. */
  readonly expectedMs?: number;
}

/**
 * Age up to which a report tells the load of an instance, in milliseconds: about
 * the duration of a request or two.
 */
const RECENT_REPORT_MS = 500;

/** Instances with older reports that are compared for one request. */
const SAMPLE_COUNT = 2;

/**
 * Chooses the instances that are compared for one request: those with a recent
 * report, and a few others at random, by their capacity.
 *
 * In a large fleet most reports are old. If each daemon compared all instances,
 * all would choose the same few, which were the fastest when they last reported.
 */
function sampleCandidates<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  usual: UsualLoad,
  random: () => number,
): readonly T[] {
  const compared: T[] = [];
  const others: T[] = [];
  for (const candidate of candidates) {
    const isRecent = now - candidate.load.reportedAt <= RECENT_REPORT_MS;
    (isRecent ? compared : others).push(candidate);
  }
  if (others.length <= SAMPLE_COUNT) return candidates;
  for (let count = 0; count < SAMPLE_COUNT; count++) {
    const total = others.reduce(
      (sum, other) => sum + capacityOf(other, usual),
      0,
    );
    let rest = random() * total;
    const index = others.findIndex(
      other => (rest -= capacityOf(other, usual)) < 0,
    );
    compared.push(...others.splice(index, 1));
  }
  return compared;
}

/** Returns how many such requests an instance can run in a millisecond. */
function capacityOf({load, expectedMs}: Candidate, usual: UsualLoad): number {
  const {slots, meanMs} = shapeOf(load, usual);
  const failMs = load.failures * FAILURE_COST_MS;
  return slots / (Math.max(expectedMs ?? meanMs, 1) + failMs);
}

/** Returns the means of the last reports. */
function usualLoadOf(candidates: readonly Candidate[]): UsualLoad {
  let count = 0;
  let usage = 0;
  let slots = 0;
  let meanMs = 0;
  for (const {load} of candidates) {
    if (!isReported(load)) continue;
    count += 1;
    usage += load.reportedBusy / load.slots;
    slots += load.slots;
    meanMs += load.meanMs;
  }
  if (count === 0) return NO_USUAL_LOAD;
  return {usage: usage / count, slots: slots / count, meanMs: meanMs / count};
}

/**
 * Added for an instance to which there is no connection, in milliseconds: the
 * wait for one. Opened connections stay in use, and requests go to further
 * instances once the connected ones have about this much work waiting.
 */
const CONNECT_COST_MS = 150;

/**
 * Added in place of `CONNECT_COST_MS` if the wait could use up the time of a
 * request, in milliseconds.
 */
const TIGHT_CONNECT_COST_MS = 600;

/**
 * Time left of a request that an attempt to connect without success could use
 * up, in milliseconds.
 */
const TIGHT_LEFT_MS = 1500;

const CONNECTION_COSTS_MS: Readonly<Record<ConnectionState, number>> = {
  usable: 0,
  none: CONNECT_COST_MS,
  opening: CONNECT_COST_MS,
  failed: TIGHT_CONNECT_COST_MS,
};

/** Estimates the wait for a connection to an instance, in milliseconds. */
function connectMs(connection: ConnectionState, leftMs: number): number {
  const isTight = leftMs < TIGHT_LEFT_MS && connection !== 'usable';
  return isTight ? TIGHT_CONNECT_COST_MS : CONNECTION_COSTS_MS[connection];
}

/** A request, as far as the choice of an instance depends on it. */
export interface ChoiceRequest {
  /** Length of the request body and of the expected answer. */
  readonly bytes?: number;
  /** Time until its deadline, in milliseconds. */
  readonly leftMs?: number;
}

/** Estimates the time that a request takes at a connected instance. */
function connectedMs(
  candidate: Candidate,
  now: number,
  bytes: number,
  usual: UsualLoad,
): number {
  const {avoidedUntil, suspectedUntil} = candidate.load;
  const until = Math.max(avoidedUntil, suspectedUntil);
  const penaltyMs = Math.max(0, until - now) * AVOID_PENALTY;
  return estimateMs(candidate, now, bytes, usual) + penaltyMs;
}

/** Returns the first of the items with the lowest finite cost. */
function cheapest<T>(
  items: readonly T[],
  costOf: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const cost = costOf(item);
    if (cost >= bestCost) continue;
    best = item;
    bestCost = cost;
  }
  return best;
}

/**
 * Chooses those that are compared: of the ones that are neither avoided nor at
 * their rate limit, if any.
 */
function comparedOf<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  usual: UsualLoad,
  random: () => number,
): readonly T[] {
  const available = candidates.filter(
    ({load}) => Math.max(load.avoidedUntil, load.suspectedUntil) <= now,
  );
  if (available.length === 0) return candidates;
  const free = available.filter(({load}) => limitDelayMs(load, now) === 0);
  return free.length > 0
    ? sampleCandidates(free, now, usual, random)
    : available;
}

/**
 * Chooses the instance with the lowest estimate among those that are not
 * avoided; if all are, the one that is avoided for the shortest time. Of the
 * instances whose last report is old, only a few at random are compared, at the
 * usual usage of their slots. One that has not reported yet counts as usual.
 *
 * Instances of services without keys differ in speed, utilization and rate
 * limits, and fail independently.
 *
 * @param random Returns a number from 0 to less than 1.
 *
 * @example
 * chooseInstance(candidates, performance.now())?.node;
 */
export function chooseInstance<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  {bytes = 0, leftMs = Infinity}: ChoiceRequest = {},
  random = Math.random,
): T | undefined {
  const usual = usualLoadOf(candidates);
  return cheapest(
    comparedOf(candidates, now, usual, random),
    candidate =>
      connectedMs(candidate, now, bytes, usual) +
      connectMs(candidate.connection, leftMs),
  );
}

/**
 * Chooses an instance to which a connection should be opened before a request
 * needs it: one that would be chosen if all were connected. So instances that
 * join get requests soon, and requests reach more instances under load, without
 * waiting for connections.
 *
 * @returns undefined if the instance is connected, or a connection to it is
 *     being opened or has just failed.
 *
 * @example
 * const ahead = chooseToConnect(candidates, performance.now());
 * if (ahead) connectAhead(ahead.node);
 */
export function chooseToConnect<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  {bytes = 0}: ChoiceRequest = {},
  random = Math.random,
): T | undefined {
  const attemptable = candidates.filter(
    ({connection}) => connection === 'usable' || connection === 'none',
  );
  const usual = usualLoadOf(candidates);
  const best = cheapest(
    comparedOf(attemptable, now, usual, random),
    candidate => connectedMs(candidate, now, bytes, usual),
  );
  return best?.connection === 'none' ? best : undefined;
}

/**
 * Cost per millisecond of the remaining avoidance, so that any other reachable
 * instance is preferred.
 */
const AVOID_PENALTY = 1000;
