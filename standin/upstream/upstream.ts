import {openSync, writeSync} from 'node:fs';
import {createRandom, type Random} from '../../src/load/random.js';
import {createJournal, type Journal, type JournalLine} from './journal.js';
import {CLOSED_FENCE, isGranted, type Fence} from './fence.js';
import type {UpstreamOptions} from './options.js';
import {createSlots, type Slots} from './slots.js';

/** Factor by which a request takes longer at the start of an upstream. */
const COLD_FACTOR = 5;

/** Requests that wait before the upstream sheds, for each slot. */
const QUEUE_LIMIT_PER_SLOT = 4;

/** Age of the state that a lagging health endpoint tells, in milliseconds. */
const HEALTH_LAG_MS = 5000;

/** Faults that `POST /faults` sets; those that are left out stay as they are. */
export interface UpstreamFaults {
  /** Keeps the health answer as it is now. */
  readonly freezeHealth?: boolean;
  /** Sheds every request. */
  readonly shed?: boolean;
  /** Tells no load whatever there is. */
  readonly lieLoad?: boolean;
}

/** Answer of the load endpoint. */
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
  /** Difference of the upstream's clock to the monotonic one. */
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
 * @param name Identifies the upstream in its answers.
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

/** Tells whether the upstream refuses a new request to shed load. */
export function isShedding(upstream: Upstream): boolean {
  const queueLimit = upstream.options.slots * QUEUE_LIMIT_PER_SLOT;
  return (
    upstream.draining ||
    upstream.faults.shed === true ||
    upstream.slots.queued() >= queueLimit
  );
}

/** Tells whether the fence lets a slice and epoch through now. */
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

/** Draws the time that one request holds its slot, in milliseconds. */
export function sampleServiceMs(upstream: Upstream): number {
  const {serviceMs, coldMs} = upstream.options;
  const ageMs = performance.now() - upstream.startedMs;
  const coldFactor =
    ageMs < coldMs ? COLD_FACTOR - (COLD_FACTOR - 1) * (ageMs / coldMs) : 1;
  return serviceMs * coldFactor * (0.5 + upstream.random());
}

/** Sets faults. */
export function setFaults(upstream: Upstream, faults: UpstreamFaults): void {
  const startsFreeze = faults.freezeHealth && !upstream.faults.freezeHealth;
  if (startsFreeze) upstream.frozenHealth = getReportedHealth(upstream);
  upstream.faults = {...upstream.faults, ...faults};
}

/** Records the true health, from which a lagging endpoint tells an old one. */
export function recordHealth(upstream: Upstream): void {
  const healthy = !isShedding(upstream);
  const last = upstream.health.at(-1);
  if (last?.healthy === healthy) return;
  upstream.health = [...upstream.health, {atMs: performance.now(), healthy}];
}

/** Returns what the health endpoint tells. */
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

/** Returns what the load endpoint tells. */
export function getReportedLoad(upstream: Upstream): Load {
  const {slots, options} = upstream;
  if (upstream.faults.lieLoad) {
    return {inUse: 0, slots: options.slots, queued: 0};
  }
  return {inUse: slots.inUse(), slots: options.slots, queued: slots.queued()};
}
