import {openSync, writeSync} from 'node:fs';
import {createRandom, type Random} from '../../src/load/random.js';
import {createJournal, type Journal, type JournalLine} from './journal.js';
import {CLOSED_FENCE, isGranted, type Fence} from './fence.js';
import type {UpstreamOptions} from './options.js';
import {createSlots, type Slots} from './slots.js';

/** Factor of the service time at the start of an upstream; declines to 1. */
const COLD_FACTOR = 5;

/** Queued requests per slot at which the upstream sheds load. */
const QUEUE_LIMIT_PER_SLOT = 4;

/** Age of the state that a lagging health endpoint reports. */
const HEALTH_LAG_MS = 5000;

/** Faults set by `POST /faults`; omitted ones stay unchanged. */
export interface UpstreamFaults {
  /** Freezes the reported health at its current value. */
  readonly freezeHealth?: boolean;
  /** Sheds every request. */
  readonly shed?: boolean;
  /** Reports no load, whatever the real load is. */
  readonly lieLoad?: boolean;
}

/** Response body of the load endpoint. */
export interface Load {
  readonly inUse: number;
  readonly slots: number;
  readonly queued: number;
}

/** One change of the health of an upstream. */
interface HealthChange {
  readonly atMs: number;
  readonly healthy: boolean;
}

/** State of one upstream stand-in. */
export interface Upstream {
  readonly options: UpstreamOptions;
  readonly name: string;
  readonly slots: Slots;
  readonly journal: Journal;
  readonly random: Random;
  readonly startedMs: number;
  /** Offset of the upstream's clock from the monotonic clock. */
  readonly clockOffsetMs: number;
  fence: Fence;
  draining: boolean;
  faults: UpstreamFaults;
  health: readonly HealthChange[];
  frozenHealth: boolean;
}

/**
 * Creates the state of an upstream.
 *
 * @param name Identifies the upstream in its responses.
 *
 * @example
 * createUpstream('127.0.0.1:80', readOptions({slots: 12}));
 */
export function createUpstream(
  name: string,
  options: UpstreamOptions,
): Upstream {
  return {
    options,
    name,
    slots: createSlots(options.slots),
    journal: createJournal(
      options.journal ? createJournalWriter(options.journal) : undefined,
    ),
    random: createRandom(options.seed),
    startedMs: performance.now(),
    clockOffsetMs: Math.floor(Math.random() * 1e9),
    fence: CLOSED_FENCE,
    draining: false,
    faults: {},
    health: [],
    frozenHealth: true,
  };
}

function createJournalWriter(file: string): (line: JournalLine) => void {
  const descriptor = openSync(file, 'a');
  return line => writeSync(descriptor, JSON.stringify(line) + '\n');
}

/** Reads the upstream's own clock, in milliseconds. */
export function readClock(upstream: Upstream): number {
  return Math.floor(performance.now()) + upstream.clockOffsetMs;
}

/** Returns whether the upstream refuses new requests to shed load. */
export function isShedding(upstream: Upstream): boolean {
  const queueLimit = upstream.options.slots * QUEUE_LIMIT_PER_SLOT;
  return (
    upstream.draining ||
    upstream.faults.shed === true ||
    upstream.slots.queued() >= queueLimit
  );
}

/** Returns whether the fence currently admits a slice and epoch. */
export function mayExecute(
  upstream: Upstream,
  slice: number | undefined,
  epoch: number | undefined,
): boolean {
  if (upstream.options.fencing === 'ignored' || slice === undefined)
    return true;
  const granted = {slice, epoch: epoch ?? 0};
  return isGranted(upstream.fence, granted, readClock(upstream));
}

/** Draws a random time for which a request occupies its slot. */
export function sampleServiceMs(upstream: Upstream): number {
  const {serviceMs, coldMs} = upstream.options;
  const ageMs = performance.now() - upstream.startedMs;
  const coldFactor =
    ageMs < coldMs ? COLD_FACTOR - (COLD_FACTOR - 1) * (ageMs / coldMs) : 1;
  return serviceMs * coldFactor * (0.5 + upstream.random());
}

/** Sets faults; records the health to report when a freeze begins. */
export function setFaults(upstream: Upstream, faults: UpstreamFaults): void {
  const startsFreeze = faults.freezeHealth && !upstream.faults.freezeHealth;
  if (startsFreeze) upstream.frozenHealth = getReportedHealth(upstream);
  upstream.faults = {...upstream.faults, ...faults};
}

/** Records a change of the actual health, for the lagging health endpoint. */
export function recordHealth(upstream: Upstream): void {
  const healthy = !isShedding(upstream);
  const last = upstream.health.at(-1);
  if (last?.healthy === healthy) return;
  upstream.health = [...upstream.health, {atMs: performance.now(), healthy}];
}

/** Returns the health that the health endpoint reports. */
export function getReportedHealth(upstream: Upstream): boolean {
  const {health} = upstream.options;
  if (upstream.faults.freezeHealth) return upstream.frozenHealth;
  if (health === 'lie') return true;
  if (health === 'true') return !isShedding(upstream);
  const reportedMs = performance.now() - HEALTH_LAG_MS;
  const reported = upstream.health.findLast(
    change => change.atMs <= reportedMs,
  );
  return reported?.healthy ?? true;
}

/** Returns the load that the load endpoint reports. */
export function getReportedLoad(upstream: Upstream): Load {
  const {slots, options} = upstream;
  if (upstream.faults.lieLoad) {
    return {inUse: 0, slots: options.slots, queued: 0};
  }
  return {inUse: slots.inUse(), slots: options.slots, queued: slots.queued()};
}
