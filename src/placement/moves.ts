import type {Weights} from '../model/index.js';
import type {Move} from './chunk.js';
import {groupBy} from './group.js';
import {
  mostUtilized,
  hostsOf,
  meanUtilization,
  peakUtilization,
  utilization,
  withoutSlice,
  withSlice,
  type Host,
  type HostInput,
} from './hosts.js';
import {disruptionWeight, type SliceLoad} from './load.js';

/**
 * Excess of the peak over the mean, as a share of the mean, that starts
 * balancing.
 */
const START_BAND = 0.1;

/** Bounds of `START_BAND` after scaling by the site's weights. */
const MIN_BAND = 0.05;
const MAX_BAND = 1;

/** Share of the start band at which balancing stops. */
const STOP_SHARE = 0.5;

/** Utilization above which a member is hot and slices move away immediately. */
export const HOT_UTILIZATION = 0.8;

/** Share of a service's slices that may move per minute. */
const MOVED_SHARE_PER_MINUTE = 0.1;

/** Size of the full move budget, in minutes of its refill rate. */
const BUDGET_MINUTES = 2;

/**
 * Maximum number of moves in one plan, so that it does not block the event
 * loop.
 */
export const MOVES_PER_PLAN = 64;

/** Minimum size of the full move budget. */
const MIN_BUDGET = 4;

/** Load above which a slice is hot, as a multiple of its owner's mean slice. */
const HOT_SLICE_FACTOR = 6;

/**
 * Excess of the peak utilization over the mean below which nothing is balanced.
 */
const NEGLIGIBLE_EXCESS = 0.02;

/**
 * Load reduction, as a share of the mean slice load, that is not worth a move.
 */
const NEGLIGIBLE_SLICE_SHARE = 0.1;

/** Time for which a moved slice is not moved again. */
export const MIN_STAY_MS = 5 * 60_000;

/** Time for which a moved slice is not moved again if its owner is hot. */
export const HOT_MIN_STAY_MS = 30_000;

/** Time for which a slice is not moved back to an earlier owner. */
export const NO_RETURN_MS = 30 * 60_000;

const MINUTE_MS = 60_000;

/** A recently planned move. */
export interface RecentMove extends Move {
  readonly from: string;
  readonly at: number;
}

/** State of the planner of a service between plans. */
export interface MoveState {
  readonly recent: readonly RecentMove[];
  /** Remaining moves of the budget. */
  readonly budget: number;
  /** Time of the last refill of the budget. */
  readonly filledAt: number;
  /** Whether balancing has started and not stopped yet. */
  readonly isBalancing: boolean;
}

/** Input of the moves of one service. */
export interface MoveInput extends HostInput {
  readonly weights: Weights;
}

/** The moves to make now, most urgent first, and the next state. */
export interface MovePlan {
  readonly state: MoveState;
  readonly moves: readonly Move[];
}

/** An incomplete plan with the loads after its moves. */
interface Draft {
  readonly hosts: readonly Host[];
  readonly planned: readonly RecentMove[];
  readonly budget: number;
}

/** The input with values shared by all moves of a plan. */
interface Scope extends MoveInput {
  /** Recent moves by slice. */
  readonly earlier: ReadonlyMap<number, readonly RecentMove[]>;
  /** Minimum load by which a move must lower the peak of its two members. */
  readonly minimumLoad: number;
}

/**
 * Returns the initial state of a planner.
 *
 * @example
 * let state = createMoveState(now);
 */
export function createMoveState(now: number): MoveState {
  return {recent: [], budget: MIN_BUDGET, filledAt: now, isBalancing: false};
}

/**
 * Chooses slices to move, first away from members that are nearly out of slots,
 * then to balance the load. Balancing starts when the peak utilization exceeds
 * a band around the mean and continues until it is well within the band. Each
 * move must lower the higher utilization of its two members. A moved slice is
 * not moved again for some time, nor back to an earlier owner. A token bucket
 * limits the rate of moves. The site's weights widen or narrow the band.
 *
 * @throws {RangeError} when the weight of imbalance is not positive.
 *
 * @example
 * const {state, moves} = planMoves(createMoveState(now), input);
 */
export function planMoves(state: MoveState, input: MoveInput): MovePlan {
  const recent = state.recent.filter(m => input.now - m.at < NO_RETURN_MS);
  const hosts = hostsOf(input);
  const scope = {
    ...input,
    earlier: groupBy(recent, move => move.slice),
    minimumLoad: NEGLIGIBLE_SLICE_SHARE * meanSliceLoad(input),
  };
  const isBalancing = shouldBalance(state, input, hosts);
  const start = {hosts, planned: [], budget: refillBudget(state, input)};
  const draft = reduceUtilization(
    start,
    scope,
    targetOf(input, hosts, isBalancing),
  );
  return {
    moves: draft.planned.map(({slice, to}) => ({slice, to})),
    state: {
      recent: [...recent, ...draft.planned],
      budget: draft.budget,
      filledAt: input.now,
      isBalancing,
    },
  };
}

function meanSliceLoad({slices}: MoveInput): number {
  const load = slices.reduce((sum, slice) => sum + slice.load, 0);
  return load / Math.max(1, slices.length);
}

/** Returns whether balancing starts, or continues once started. */
function shouldBalance(
  state: MoveState,
  input: MoveInput,
  hosts: readonly Host[],
): boolean {
  const mean = meanUtilization(hosts);
  const peak = peakUtilization(hosts);
  const share = state.isBalancing ? STOP_SHARE : 1;
  const limit = mean * (1 + bandOf(input.weights) * share);
  return peak > limit && peak - mean > NEGLIGIBLE_EXCESS;
}

/** Returns the utilization above which slices move away from a member. */
function targetOf(
  input: MoveInput,
  hosts: readonly Host[],
  isBalancing: boolean,
): number {
  const mean = meanUtilization(hosts);
  const even = mean * (1 + bandOf(input.weights) * STOP_SHARE);
  const hot = Math.max(HOT_UTILIZATION, mean * (1 + MIN_BAND));
  return isBalancing ? Math.min(even, hot) : hot;
}

/** Returns the start band scaled by the site's weights. */
function bandOf(weights: Weights): number {
  const scaled = START_BAND * disruptionWeight(weights);
  return Math.min(MAX_BAND, Math.max(MIN_BAND, scaled));
}

/** Returns the budget refilled for the time since the last refill. */
function refillBudget(state: MoveState, input: MoveInput): number {
  const {now, slices} = input;
  const rate = MOVED_SHARE_PER_MINUTE * slices.length;
  const full = Math.max(MIN_BUDGET, rate * BUDGET_MINUTES);
  const gained = (rate * (now - state.filledAt)) / MINUTE_MS;
  return Math.min(full, state.budget + gained);
}

/**
 * Moves slices away from the most utilized members until none exceeds the
 * target.
 */
function reduceUtilization(start: Draft, scope: Scope, target: number): Draft {
  let draft = start;
  const exhausted = new Set<string>();
  while (draft.budget >= 1 && draft.planned.length < MOVES_PER_PLAN) {
    const source = mostUtilized(
      draft.hosts.filter(h => !exhausted.has(h.instance)),
    );
    if (!source || utilization(source) <= target) break;
    const move = bestMove(draft, scope, source);
    if (move) draft = applyMove(draft, move);
    else exhausted.add(source.instance);
  }
  return draft;
}

/**
 * Finds a move away from a member that lowers the higher utilization of its two
 * members. From a hot member, or one with a hot slice, chooses the move that
 * lowers it most. Otherwise chooses the slice whose load is closest to the
 * mean, so that the number of slices per member stays balanced as well.
 */
function bestMove(
  draft: Draft,
  scope: Scope,
  source: Host,
): RecentMove | undefined {
  const isHot = utilization(source) > HOT_UTILIZATION;
  const limit = utilization(source) - scope.minimumLoad / source.capacity;
  const meanLoad = source.load / Math.max(1, source.slices.length);
  const hasHotSlice = source.slices.some(
    s => s.load > HOT_SLICE_FACTOR * meanLoad,
  );
  let best: RecentMove | undefined;
  let bestCost = Infinity;
  for (const slice of source.slices) {
    if (!slice.isSettled || slice.load <= 0) continue;
    const earlier = scope.earlier.get(slice.slice) ?? [];
    if (isRecentlyMoved(earlier, scope.now, isHot)) continue;
    const to = bestTarget(draft.hosts, source, slice, earlier);
    if (!to) continue;
    const peak = peakAfter(source, to, slice);
    const cost = isHot || hasHotSlice ? peak : Math.abs(slice.load - meanLoad);
    if (peak >= limit || cost >= bestCost) continue;
    bestCost = cost;
    best = {
      slice: slice.slice,
      from: source.instance,
      to: to.instance,
      at: scope.now,
    };
  }
  return best;
}

/** Returns the higher utilization of two hosts after a move between them. */
function peakAfter(from: Host, to: Host, slice: SliceLoad): number {
  const left = (from.load - slice.load) / from.capacity;
  return Math.max(left, (to.load + slice.load) / to.capacity);
}

/** Returns whether a slice was moved too recently to be moved again. */
function isRecentlyMoved(
  earlier: readonly RecentMove[],
  now: number,
  isHot: boolean,
): boolean {
  const minStayMs = isHot ? HOT_MIN_STAY_MS : MIN_STAY_MS;
  return earlier.some(move => now - move.at < minStayMs);
}

/** Finds the host with the lowest utilization after adding the slice. */
function bestTarget(
  hosts: readonly Host[],
  source: Host,
  slice: SliceLoad,
  earlier: readonly RecentMove[],
): Host | undefined {
  let best: Host | undefined;
  let bestUsed = Infinity;
  for (const host of hosts) {
    const used = (host.load + slice.load) / host.capacity;
    if (host === source || used >= bestUsed) continue;
    if (earlier.some(move => hasLeft(host, move))) continue;
    best = host;
    bestUsed = used;
  }
  return best;
}

/**
 * Returns whether a move took its slice away from a host that has not restarted
 * since.
 */
function hasLeft(host: Host, move: RecentMove): boolean {
  return move.from === host.instance && host.servingSince <= move.at;
}

/** Adds a move to the plan and applies it to the loads. */
function applyMove(draft: Draft, move: RecentMove): Draft {
  const source = draft.hosts.find(h => h.instance === move.from);
  const moved = source?.slices.find(s => s.slice === move.slice);
  if (!moved)
    throw new RangeError(
      `slice ${move.slice}: expected it at the source of its move, found it missing there`,
    );
  const hosts = draft.hosts.map(host => {
    if (host.instance === move.from) return withoutSlice(host, moved);
    if (host.instance === move.to) return withSlice(host, moved);
    return host;
  });
  const planned = [...draft.planned, move];
  return {hosts, planned, budget: draft.budget - 1};
}
