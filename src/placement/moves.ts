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

/** Load above the mean, as a share of it, at which balancing starts. */
const START_BAND = 0.1;

/** Bounds on `START_BAND` once it is scaled by the site's weights. */
const MIN_BAND = 0.05;
const MAX_BAND = 1;

/** Share of the start band at which balancing stops again. */
const STOP_SHARE = 0.5;

/** Used share of its slots from which a member is to be relieved at once. */
export const HOT_UTILIZATION = 0.8;

/** Share of a service's slices that may move in a minute. */
const MOVED_SHARE_PER_MINUTE = 0.1;

/** Moves that may be saved up, in minutes of the budget. */
const BUDGET_MINUTES = 2;

/** Moves that one plan makes at most, so that it does not hold up the loop. */
export const MOVES_PER_PLAN = 64;

/** Smallest number of moves that the full budget holds. */
const MIN_BUDGET = 4;

/** Load from which a slice is hot, as a multiple of its owner's mean slice. */
const HOT_SLICE_FACTOR = 6;

/** Load above the mean, as a share of slots, below which nothing is evened out. */
const NEGLIGIBLE_EXCESS = 0.02;

/** Load of a slice, as a share of the mean one, that is not worth a move. */
const NEGLIGIBLE_SLICE_SHARE = 0.1;

/** Time for which a moved slice stays. */
export const MIN_STAY_MS = 5 * 60_000;

/** Time for which a moved slice stays when its owner is hot. */
export const HOT_MIN_STAY_MS = 30_000;

/** Time for which a slice may not return to an owner that it left. */
export const NO_RETURN_MS = 30 * 60_000;

const MINUTE_MS = 60_000;

/** A move that was planned lately. */
export interface RecentMove extends Move {
  readonly from: string;
  readonly at: number;
}

/** What the planner of a service remembers between plans. */
export interface MoveState {
  readonly recent: readonly RecentMove[];
  /** Moves left in the budget. */
  readonly budget: number;
  /** Time at which the budget was last filled up. */
  readonly filledAt: number;
  /** Whether plain balancing has started and not yet come to its end. */
  readonly isBalancing: boolean;
}

/** What the moves of one service depend on. */
export interface MoveInput extends HostInput {
  readonly weights: Weights;
}

/** The moves to make now, most urgent first, and what to remember. */
export interface MovePlan {
  readonly state: MoveState;
  readonly moves: readonly Move[];
}

/** A plan in the making. */
interface Draft {
  readonly hosts: readonly Host[];
  readonly planned: readonly RecentMove[];
  readonly budget: number;
}

/** The input with what all moves of a plan share. */
interface Scope extends MoveInput {
  /** Recent moves of each slice. */
  readonly earlier: ReadonlyMap<number, readonly RecentMove[]>;
  /** Load that a move must take off the higher one of its two members. */
  readonly minimumLoad: number;
}

/**
 * Returns the state of a planner that has planned nothing yet.
 *
 * @example
 * let state = startMoves(now);
 */
export function createMoveState(now: number): MoveState {
  return {recent: [], budget: MIN_BUDGET, filledAt: now, isBalancing: false};
}

/**
 * Chooses slices to move: first away from members that are nearly out of
 * slots, then to even out the load. Balancing starts when the highest load
 * leaves a band around the mean and goes on until it is well within the band.
 * Each move must lower the higher load of its two members; a slice that was
 * moved stays for a while and does not return to an owner that it left. A
 * budget bounds the number of moves over time. The site's weights widen or
 * narrow the band.
 *
 * @throws {RangeError} when the weight of imbalance is not positive.
 *
 * @example
 * const {state, moves} = planMoves(startMoves(now), input);
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
      isBalancing: isBalancing,
    },
  };
}

function meanSliceLoad({slices}: MoveInput): number {
  const load = slices.reduce((sum, slice) => sum + slice.load, 0);
  return load / Math.max(1, slices.length);
}

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

/** Returns the utilisation above which members are relieved. */
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

function bandOf(weights: Weights): number {
  const scaled = START_BAND * disruptionWeight(weights);
  return Math.min(MAX_BAND, Math.max(MIN_BAND, scaled));
}

/** Returns the budget with what it has gained since it was last filled up. */
function refillBudget(state: MoveState, input: MoveInput): number {
  const {now, slices} = input;
  const rate = MOVED_SHARE_PER_MINUTE * slices.length;
  const full = Math.max(MIN_BUDGET, rate * BUDGET_MINUTES);
  const gained = (rate * (now - state.filledAt)) / MINUTE_MS;
  return Math.min(full, state.budget + gained);
}

/** Moves slices off the fullest members until none is above the target. */
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
 * Finds a move off a member that lowers the higher load of its two members.
 * Off a hot member, or one with a hot slice, it is the one that lowers it most.
 * Otherwise it is the one of the most ordinary slice, so that members differ
 * little in the number of their slices as well.
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

/** Returns the higher utilisation of two hosts after a move between them. */
function peakAfter(from: Host, to: Host, slice: SliceLoad): number {
  const left = (from.load - slice.load) / from.capacity;
  return Math.max(left, (to.load + slice.load) / to.capacity);
}

function isRecentlyMoved(
  earlier: readonly RecentMove[],
  now: number,
  isHot: boolean,
): boolean {
  const minStayMs = isHot ? HOT_MIN_STAY_MS : MIN_STAY_MS;
  return earlier.some(move => now - move.at < minStayMs);
}

/** Finds the host that the slice would load least. */
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

/** Tells whether a move took its slice off a host that still runs since. */
function hasLeft(host: Host, move: RecentMove): boolean {
  return move.from === host.instance && host.servingSince <= move.at;
}

function applyMove(draft: Draft, move: RecentMove): Draft {
  const source = draft.hosts.find(h => h.instance === move.from);
  const moved = source?.slices.find(s => s.slice === move.slice);
  if (!moved) throw new RangeError(`slice ${move.slice} is not where it was`);
  const hosts = draft.hosts.map(host => {
    if (host.instance === move.from) return withoutSlice(host, moved);
    if (host.instance === move.to) return withSlice(host, moved);
    return host;
  });
  const planned = [...draft.planned, move];
  return {hosts, planned, budget: draft.budget - 1};
}
