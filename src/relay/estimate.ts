import {limitDelayMs, type InstanceLoad} from './load.js';

/** An instance to which a request may be sent. */
export interface Candidate {
  readonly node: string;
  /** The instance is in the own failure domain. */
  readonly isSameDomain: boolean;
  readonly load: InstanceLoad;
  /** Expected duration of the request there, in milliseconds, if known. */
  readonly expectedMs?: number;
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
 * Half-life of the weight of a report against the usual usage of the instances,
 * in milliseconds.
 */
const REPORT_HALF_LIFE_MS = 2000;

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

/** Weight of the usage of the slots while no request has to wait for one. */
const USAGE_WEIGHT = 0.3;

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
  const usualBusy = isReported(load) ? usual.usage * slots : 0;
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

/**
 * Returns how many such requests an instance can run in a millisecond.
 *
 * @example
 * capacityOf(candidate, usualLoadOf(candidates));
 */
export function capacityOf(
  {load, expectedMs}: Candidate,
  usual: UsualLoad,
): number {
  const {slots, meanMs} = shapeOf(load, usual);
  const failMs = load.failures * FAILURE_COST_MS;
  return slots / (Math.max(expectedMs ?? meanMs, 1) + failMs);
}

/**
 * Returns the means of the last reports.
 *
 * @example
 * usualLoadOf(candidates).usage; // 0.8
 */
export function usualLoadOf(candidates: readonly Candidate[]): UsualLoad {
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
