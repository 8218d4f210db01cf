import type {Member} from '../../src/model/index.js';
import {smooth} from '../../src/placement/index.js';
import {mean, type Point} from '../statistics.js';
import {randomNormal, createRandom} from '../random.js';
import type {NamedPolicy} from './policy.js';
import {loadsAt, type Incident, type Trace} from './trace.js';

/** Score of one policy on one trace. */
export interface Score {
  /**
   * Mean over time of the highest utilisation divided by the mean utilisation.
   */
  readonly imbalance: number;
  /** Changes of owner per key. */
  readonly churn: number;
  /** Time without an owner, in milliseconds per key. */
  readonly ownerlessMs: number;
  /** Time in which the owner had no free slot, in milliseconds per key. */
  readonly refusedMs: number;
  /** Imbalance (y) by time in minutes (x). */
  readonly imbalanceOverTime: readonly Point[];
}

/** Time between two calls of the policy. */
const STEP_MS = 5000;

/** Time before the trace in which the policy runs without being scored. */
const WARM_UP_MS = 10 * 60_000;

/** Time without an owner after a loss, assumed for every policy. */
const TAKEOVER_GAP_MS = 1000;

/** Time without an owner during a planned move, assumed for every policy. */
const MOVE_GAP_MS = 50;

/** Relative error of measured loads: sigma of a normal distribution. */
const LOAD_ERROR_SIGMA = 0.1;

const MINUTE_MS = 60_000;

/**
 * Replays a trace with a policy and returns the score.
 *
 * @example
 * replay(trace, BASELINES[0], 1).imbalance;
 */
export function replay(trace: Trace, named: NamedPolicy, seed: number): Score {
  const policy = named.create();
  const random = createRandom(seed);
  const {service, weights} = trace;
  const measuredLoads = new Float64Array(service.slices);
  const imbalanceOverTime: Point[] = [];
  let members = trace.members;
  let owners: readonly string[] = [];
  let changes = 0;
  let ownerlessMs = 0;
  let refusedMs = 0;
  for (let now = -WARM_UP_MS; now < trace.durationMs; now += STEP_MS) {
    const incidents = trace.incidents.filter(
      i => i.at >= now && i.at < now + STEP_MS,
    );
    members = incidents.reduce(applyIncident, members);
    const loads = loadsAt(trace, now);
    updateMeasuredLoads(measuredLoads, loads, now === -WARM_UP_MS, () =>
      randomNormal(random),
    );
    const hasChanged = incidents.length > 0;
    const next = policy({
      now,
      service,
      weights,
      members,
      loads: measuredLoads,
      hasChanged,
    });
    if (now >= 0) {
      const moved = next.filter((owner, slice) => owner !== owners[slice]);
      const lost = countLost(members, owners);
      changes += moved.length;
      ownerlessMs +=
        lost * TAKEOVER_GAP_MS + (moved.length - lost) * MOVE_GAP_MS;
      const utilisation = utilisations(members, next, loads);
      refusedMs += sumRefusedShares(next, utilisation) * STEP_MS;
      imbalanceOverTime.push({x: now / MINUTE_MS, y: imbalanceOf(utilisation)});
    }
    owners = next;
  }
  return {
    imbalance: mean(imbalanceOverTime.map(p => p.y)),
    churn: changes / service.slices,
    ownerlessMs: ownerlessMs / service.slices,
    refusedMs: refusedMs / service.slices,
    imbalanceOverTime,
  };
}

function applyIncident(
  members: readonly Member[],
  {kind, instance}: Incident,
): readonly Member[] {
  return members.map(member => {
    if (member.instance !== instance) return member;
    if (kind === 'drain') return {...member, state: 'draining'};
    if (kind === 'lose') return {...member, state: 'ended'};
    return {...member, state: 'serving', generation: member.generation + 1};
  });
}

/**
 * Updates the smoothed loads measured by the owners with the loads of one step.
 */
function updateMeasuredLoads(
  measuredLoads: Float64Array,
  loads: Float64Array,
  isFirst: boolean,
  noise: () => number,
): void {
  loads.forEach((load, slice) => {
    const sample = Math.max(0, load * (1 + LOAD_ERROR_SIGMA * noise()));
    const previous = isFirst ? undefined : measuredLoads[slice];
    measuredLoads[slice] = smooth(previous, sample, STEP_MS);
  });
}

/** Returns the number of slices whose owner was lost. */
function countLost(
  members: readonly Member[],
  owners: readonly string[],
): number {
  const ended = members.filter(m => m.state === 'ended');
  const names = new Set(ended.map(m => m.instance));
  return owners.filter(owner => names.has(owner)).length;
}

function utilisations(
  members: readonly Member[],
  owners: readonly string[],
  loads: Float64Array,
): ReadonlyMap<string, number> {
  const serving = members.filter(m => m.state === 'serving');
  const used = new Map(serving.map(m => [m.instance, 0]));
  owners.forEach((owner, slice) => {
    used.set(owner, (used.get(owner) ?? 0) + loads[slice]);
  });
  const slots = new Map(members.map(m => [m.instance, m.slots]));
  return new Map(
    Array.from(used, ([name, load]) => [name, load / (slots.get(name) ?? 1)]),
  );
}

/**
 * Returns the sum over all slices of the share of requests that find no slot.
 */
function sumRefusedShares(
  owners: readonly string[],
  utilisation: ReadonlyMap<string, number>,
): number {
  let total = 0;
  for (const owner of owners) {
    total += Math.max(0, 1 - 1 / (utilisation.get(owner) ?? 0));
  }
  return total;
}

function imbalanceOf(utilisation: ReadonlyMap<string, number>): number {
  const values = [...utilisation.values()];
  return Math.max(...values) / mean(values);
}
