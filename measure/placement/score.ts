import type {Member} from '../../src/model/index.js';
import {smooth} from '../../src/placement/index.js';
import {mean, type Point} from '../statistics.js';
import {randomNormal, seeded} from '../random.js';
import type {NamedPolicy} from './policy.js';
import {loadsAt, type Incident, type Trace} from './trace.js';

/** The three measures of one policy on one trace. */
export interface Score {
  /** Mean over time of the highest utilisation divided by the mean one. */
  readonly imbalance: number;
  /** Changes of owner for each key. */
  readonly churn: number;
  /** Milliseconds for each key in which it had no owner. */
  readonly ownerlessMs: number;
  /** Milliseconds for each key in which its owner had no slot for it. */
  readonly refusedMs: number;
  /** Imbalance over time, in minutes. */
  readonly imbalanceOverTime: readonly Point[];
}

/** Time between two calls of a policy. */
const STEP_MS = 5000;

/** Time before the trace in which a policy settles and is not scored. */
const WARM_UP_MS = 10 * 60_000;

/** Time without an owner after a loss, for every policy. */
const TAKEOVER_GAP_MS = 1000;

/** Time without an owner in a planned move, for every policy. */
const MOVE_GAP_MS = 50;

/** Relative error of a measured load: sigma of a normal distribution. */
const LOAD_ERROR_SIGMA = 0.1;

const MINUTE_MS = 60_000;

/**
 * Replays a trace against a policy.
 *
 * @example
 * replay(trace, BASELINES[0], 1).imbalance;
 */
export function replay(trace: Trace, named: NamedPolicy, seed: number): Score {
  const policy = named.create();
  const random = seeded(seed);
  const {service, weights} = trace;
  const measuredLoads = new Float64Array(service.slices);
  const course: Point[] = [];
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
    const changed = incidents.length > 0;
    const next = policy({
      now,
      service,
      weights,
      members,
      loads: measuredLoads,
      hasChanged: changed,
    });
    if (now >= 0) {
      const moved = next.filter((owner, slice) => owner !== owners[slice]);
      const lost = countLost(members, owners);
      changes += moved.length;
      ownerlessMs +=
        lost * TAKEOVER_GAP_MS + (moved.length - lost) * MOVE_GAP_MS;
      const utilisation = utilisations(members, next, loads);
      refusedMs += sumRefusedShares(next, utilisation) * STEP_MS;
      course.push({x: now / MINUTE_MS, y: imbalanceOf(utilisation)});
    }
    owners = next;
  }
  return {
    imbalance: mean(course.map(p => p.y)),
    churn: changes / service.slices,
    ownerlessMs: ownerlessMs / service.slices,
    refusedMs: refusedMs / service.slices,
    imbalanceOverTime: course,
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

/** Updates what the owners measured with the loads of one step. */
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

/** Counts the slices whose owner has been lost. */
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

/** Sums over all keys the share of requests that find no slot. */
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
