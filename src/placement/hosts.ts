import type {Member} from '../model/index.js';
import {groupBy} from './group.js';
import type {SliceLoad} from './load.js';
import {compareNames} from './rank.js';

/** Time in which a cold upstream comes to its full capacity. */
export const WARM_UP_MS = 60_000;

/** Share of its slots that an upstream can use when it has just started. */
const COLD_SHARE = 0.25;

/** What the loads of a service's members depend on. */
export interface HostInput {
  readonly now: number;
  /** Members of the service that are serving, in any order. */
  readonly members: readonly Member[];
  /** Returns the time at which an upstream began to serve. */
  readonly servingSince: (instance: string) => number;
  readonly slices: readonly SliceLoad[];
}

/** A member with its load, while moves are being chosen. */
export interface Host {
  readonly instance: string;
  /** Slots that the upstream can use now. */
  readonly capacity: number;
  readonly load: number;
  /** Time at which the upstream began to serve. */
  readonly servingSince: number;
  readonly slices: readonly SliceLoad[];
}

/**
 * Sums up the load of each member, in the order of their names.
 *
 * @example
 * hostsOf({now, members, servingSince: () => 0, slices})[0].load;
 */
export function hostsOf(input: HostInput): readonly Host[] {
  const slices = groupBy(input.slices, slice => slice.owner);
  return input.members
    .toSorted((a, b) => compareNames(a.instance, b.instance))
    .filter(member => member.slots > 0)
    .map(({instance, slots}) => {
      const own = slices.get(instance) ?? [];
      const load = own.reduce((sum, slice) => sum + slice.load, 0);
      const capacity = slots * warmUpShare(input, instance);
      const servingSince = input.servingSince(instance);
      return {instance, capacity, load, servingSince, slices: own};
    });
}

function warmUpShare(input: HostInput, instance: string): number {
  const age = input.now - input.servingSince(instance);
  const share = COLD_SHARE + (1 - COLD_SHARE) * (age / WARM_UP_MS);
  return Math.min(1, Math.max(COLD_SHARE, share));
}

/**
 * Returns a host without one of its slices.
 *
 * @example
 * withoutSlice(host, host.slices[0]).load;
 */
export function withoutSlice(host: Host, moved: SliceLoad): Host {
  const slices = host.slices.filter(s => s !== moved);
  return {...host, load: host.load - moved.load, slices};
}

/**
 * Returns a host with one more slice, which is not settled yet.
 *
 * @example
 * withSlice(host, moved).load;
 */
export function withSlice(host: Host, moved: SliceLoad): Host {
  const arrived = {...moved, owner: host.instance, isSettled: false};
  const slices = [...host.slices, arrived];
  return {...host, load: host.load + moved.load, slices};
}

/**
 * Returns the host of the highest utilisation; undefined of no hosts.
 *
 * @example
 * fullest(hosts)?.instance;
 */
export function mostUtilized(hosts: readonly Host[]): Host | undefined {
  let best: Host | undefined;
  for (const host of hosts) {
    if (!best || utilization(host) > utilization(best)) best = host;
  }
  return best;
}

/**
 * Returns the used share of a host's capacity.
 *
 * @example
 * utilisation({...host, load: 3, capacity: 6}); // 0.5
 */
export function utilization(host: Host): number {
  return host.load / host.capacity;
}

/**
 * Returns the used share of the capacity of all hosts; 0 of no hosts.
 *
 * @example
 * meanUtilisation(hosts);
 */
export function meanUtilization(hosts: readonly Host[]): number {
  const load = hosts.reduce((sum, host) => sum + host.load, 0);
  const capacity = hosts.reduce((sum, host) => sum + host.capacity, 0);
  return capacity > 0 ? load / capacity : 0;
}

/**
 * Returns the highest utilisation of the hosts; 0 of no hosts.
 *
 * @example
 * peakUtilisation(hosts);
 */
export function peakUtilization(hosts: readonly Host[]): number {
  return hosts.reduce((peak, host) => Math.max(peak, utilization(host)), 0);
}
