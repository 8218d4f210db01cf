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
export const LOAD_REPORT_MS = 2_000;

/** Time between two plans of moves, in milliseconds. */
const PLAN_MS = 2_000;

/** Time for which a wish for a move is upheld, in milliseconds. */
const WISH_MS = 2_000;

/** Balances the load of services over their members. */
export interface Balancer {
  /** Takes the loads that an owner reports. */
  readonly receive: (load: Load) => void;
  /** Returns the moves that are wished for a service now. */
  readonly moves: (service: Service, state: State) => readonly Move[];
}

/** The load of a slice as last reported. */
interface Report {
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
  const reports = new Map<string, Report>();
  const plans = new Map<string, Plan>();
  const since = new Map<string, number>();
  return {
    receive: ({service, slices}) => {
      for (const {slice, load} of slices) {
        const id = formatSlice({service, slice});
        const before = reports.get(id);
        const elapsed = before ? clock() - before.at : LOAD_HALF_LIFE_MS;
        const smoothed = smooth(before?.load, load, elapsed);
        reports.set(id, {load: smoothed, at: clock()});
      }
    },
    moves: (service, state) => {
      const now = clock();
      noteMembers(since, state, now);
      if (balancerOf(state, service.name)?.instance !== state.self.instance) {
        plans.delete(service.name);
        return [];
      }
      const before = plans.get(service.name);
      if (before && now - before.at < PLAN_MS) {
        return now - before.at < WISH_MS ? before.moves : [];
      }
      const weights = configuration()?.weights;
      if (!weights) return [];
      const planned = planMoves(before?.state ?? createMoveState(now), {
        now,
        weights,
        members: servingMembers(state, service.name),
        servingSince: instance => since.get(instance) ?? now,
        slices: sliceLoads(state, service, reports),
      });
      plans.set(service.name, {...planned, at: now});
      return planned.moves;
    },
  };
}

/** Returns the address to which an owner reports the loads of a service. */
export function balancerOf(state: State, service: string): Member | undefined {
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
export function loadReport(
  state: State,
  loads: ReadonlyMap<string, number>,
): {readonly to: Address; readonly message: Load} | undefined {
  const service = state.upstream?.service;
  const to = service && balancerOf(state, service)?.peers;
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

function noteMembers(
  since: Map<string, number>,
  state: State,
  now: number,
): void {
  for (const member of state.view.members.values()) {
    const id = `${member.instance} ${member.process}`;
    if (since.has(id)) continue;
    since.set(id, now);
    since.set(member.instance, now);
  }
}

function sliceLoads(
  state: State,
  service: Service,
  reports: ReadonlyMap<string, Report>,
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
      load: reports.get(id)?.load ?? 0,
      isSettled: owner.epoch >= record.wantedFrom,
    });
  }
  return loads;
}
