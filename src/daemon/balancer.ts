import {chooseCoordinators} from '../membership/index.js';
import {formatSlice, leaseOf} from '../model/index.js';
import type {Address, Configuration, Member, Service} from '../model/index.js';
import {hasLeaseEnded, liveTerms} from '../ownership/index.js';
import type {Load, State} from '../ownership/index.js';
import {
  LOAD_HALF_LIFE_MS,
  planMoves,
  smooth,
  createMoveState,
} from '../placement/index.js';
import type {Move, MoveState, SliceLoad} from '../placement/index.js';

/** Time between two reports of an owner's loads, in milliseconds. */
export const LOAD_REPORT_INTERVAL_MS = 2_000;

/** Time between two plans of moves, in milliseconds. */
const PLAN_INTERVAL_MS = 2_000;

/** Time for which a wish for a move is upheld, in milliseconds. */
const MOVE_VALIDITY_MS = 2_000;

/** Balances the load of services over their members. */
export interface Balancer {
  /** Takes the loads that an owner reports. */
  readonly recordLoads: (load: Load) => void;
  /** Returns the moves that are wished for a service now. */
  readonly plannedMoves: (service: Service, state: State) => readonly Move[];
}

/** The load of a slice as last reported. */
interface SmoothedLoad {
  readonly load: number;
  readonly at: number;
}

interface Plan {
  readonly state: MoveState;
  readonly moves: readonly Move[];
  readonly at: number;
}

/**
 * Creates a balancer. One member of each service plans its moves, since a move
 * depends on the loads of all of them.
 *
 * @param clock Monotonic time in milliseconds.
 *
 * @example
 * const balancer = createBalancer(configuration, () => performance.now());
 */
export function createBalancer(
  configuration: () => Configuration | undefined,
  clock: () => number,
): Balancer {
  const smoothedLoads = new Map<string, SmoothedLoad>();
  const plans = new Map<string, Plan>();
  const firstSeenAt = new Map<string, number>();
  return {
    recordLoads: ({service, slices}) => {
      for (const {slice, load} of slices) {
        const id = formatSlice({service, slice});
        const before = smoothedLoads.get(id);
        const elapsed = before ? clock() - before.at : LOAD_HALF_LIFE_MS;
        const smoothed = smooth(before?.load, load, elapsed);
        smoothedLoads.set(id, {load: smoothed, at: clock()});
      }
    },
    plannedMoves: (service, state) => {
      const now = clock();
      recordNewMembers(firstSeenAt, state, now);
      if (
        chooseBalancer(state, service.name)?.instance !== state.self.instance
      ) {
        plans.delete(service.name);
        return [];
      }
      const before = plans.get(service.name);
      if (before && now - before.at < PLAN_INTERVAL_MS) {
        return now - before.at < MOVE_VALIDITY_MS ? before.moves : [];
      }
      const weights = configuration()?.weights;
      if (!weights) return [];
      const planned = planMoves(before?.state ?? createMoveState(now), {
        now,
        weights,
        members: servingMembers(state, service.name),
        servingSince: instance => firstSeenAt.get(instance) ?? now,
        slices: currentSliceLoads(state, service, smoothedLoads),
      });
      plans.set(service.name, {...planned, at: now});
      return planned.moves;
    },
  };
}

/** Returns the address to which an owner reports the loads of a service. */
export function chooseBalancer(
  state: State,
  service: string,
): Member | undefined {
  const subject = `balancer ${service}`;
  const [chosen] = chooseCoordinators(
    subject,
    servingMembers(state, service),
    1,
  );
  return chosen;
}

/**
 * Builds the report of an owner's loads.
 *
 * @param loads Mean number of requests in flight, by slice.
 */
export function createLoadReport(
  state: State,
  loads: ReadonlyMap<string, number>,
): {readonly to: Address; readonly message: Load} | undefined {
  const service = state.upstream?.service;
  const to = service && chooseBalancer(state, service)?.peers;
  if (!service || !to) return undefined;
  const slices = [...state.holdings]
    .filter(([, holding]) => holding.state === 'serving')
    .map(([id, {slice}]) => ({slice, load: loads.get(id) ?? 0}));
  return {to, message: {kind: 'load', service, slices}};
}

function servingMembers(state: State, service: string): readonly Member[] {
  return [...state.view.members.values()].filter(
    member =>
      member.service === service &&
      member.state === 'serving' &&
      !hasLeaseEnded(state.view, leaseOf(member)),
  );
}

function recordNewMembers(
  firstSeenAt: Map<string, number>,
  state: State,
  now: number,
): void {
  for (const member of state.view.members.values()) {
    const id = `${member.instance} ${member.process}`;
    if (firstSeenAt.has(id)) continue;
    firstSeenAt.set(id, now);
    firstSeenAt.set(member.instance, now);
  }
}

function currentSliceLoads(
  state: State,
  service: Service,
  smoothedLoads: ReadonlyMap<string, SmoothedLoad>,
): readonly SliceLoad[] {
  const loads: SliceLoad[] = [];
  for (let slice = 0; slice < service.slices; slice++) {
    const [owner] = liveTerms(state, service.name, slice);
    const id = formatSlice({service: service.name, slice});
    const record = state.view.records.get(id);
    if (!owner || !record) continue;
    loads.push({
      slice,
      owner: owner.lease.instance,
      load: smoothedLoads.get(id)?.load ?? 0,
      isSettled: owner.epoch >= record.wantedFrom,
    });
  }
  return loads;
}
