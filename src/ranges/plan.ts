import type {Placement} from './change.js';
import {
  LAST_KEY,
  isSameIncarnation,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** Number of equal parts of the key space in which arrivals are counted. */
export const RATE_BUCKETS = 1024;

const KEYS_PER_BUCKET = (LAST_KEY + 1) / RATE_BUCKETS;

/** Requests a second for each part of the key space. */
export type RequestRates = readonly number[];

/** An incarnation that may hold keys, as the planner knows it. */
export interface Candidate {
  readonly incarnation: Incarnation;
  /** Requests a second that it can execute. */
  readonly capacity: number;
}

/** How keys are spread. */
export interface PlanSettings {
  /** Moves start when a load exceeds the mean by this factor. */
  readonly tolerance: number;
  /**
   * Utilization up to which requests hardly wait, from 0 to 1. Below it keys
   * move only to a candidate that has hardly any load.
   */
  readonly lowUtilization: number;
  /** Most ranges moved by one plan. */
  readonly maxMoves: number;
}

/** Load that each part has at least, so that idle keys are spread as well. */
const IDLE_BUCKET_RATE = 0.02;

/** Share of the mean utilization below which a candidate has hardly any load. */
const UNLOADED_SHARE = 0.5;

/** Smallest share of a mean load that is worth a move. */
const MIN_MOVE_SHARE = 0.1;

/**
 * Sums up the heat of a range of keys; a part that lies in it partly counts
 * with its share.
 *
 * @example
 * heatOf(heat, 0, 127); // the first two of 1,024 parts
 */
export function rateOfRange(
  rates: RequestRates,
  from: number,
  to: number,
): number {
  let sum = 0;
  for (let key = from; key <= to;) {
    const bucket = Math.floor(key / KEYS_PER_BUCKET);
    const end = Math.min(to, (bucket + 1) * KEYS_PER_BUCKET - 1);
    const share = (end - key + 1) / KEYS_PER_BUCKET;
    sum += ((rates[bucket] ?? 0) + IDLE_BUCKET_RATE) * share;
    key = end + 1;
  }
  return sum;
}

/**
 * Divides a range among candidates by their capacity, one part each.
 *
 * Answers the load of a service that starts, and of keys whose holder is lost.
 *
 * @returns nothing when there is no candidate.
 *
 * @example
 * divide(heat, 0, LAST_KEY, candidates);
 */
export function divide(
  rates: RequestRates,
  from: number,
  to: number,
  candidates: readonly Candidate[],
): readonly Placement[] {
  const total = rateOfRange(rates, from, to);
  const capacity = candidates.reduce((sum, c) => sum + c.capacity, 0);
  const placements: Placement[] = [];
  let start = from;
  let remaining = candidates.length;
  for (const {incarnation: incarnation, capacity: own} of candidates) {
    remaining -= 1;
    if (start > to) break;
    const isLast = remaining === 0;
    const targetRate = (total * own) / capacity;
    const end = isLast ? to : findCut(rates, start, to, targetRate);
    placements.push({from: start, to: end, holder: incarnation});
    start = end + 1;
  }
  return placements;
}

/** Returns the last key at which a range from `from` reaches a heat. */
function findCut(
  rates: RequestRates,
  from: number,
  to: number,
  targetRate: number,
): number {
  let sum = 0;
  for (let key = from; key <= to;) {
    const end = Math.min(
      to,
      key - (key % KEYS_PER_BUCKET) + KEYS_PER_BUCKET - 1,
    );
    const bucketRate = rateOfRange(rates, key, end);
    if (sum + bucketRate >= targetRate) {
      const keys = Math.floor(
        ((targetRate - sum) / bucketRate) * (end - key + 1),
      );
      return Math.max(from, Math.min(to, key + keys - 1));
    }
    sum += bucketRate;
    key = end + 1;
  }
  return to;
}

interface CandidateLoad {
  readonly candidate: Candidate;
  rate: number;
}

function loadsOf(
  map: RangeMap,
  heat: RequestRates,
  candidates: readonly Candidate[],
): readonly CandidateLoad[] {
  return candidates.map(candidate => ({
    candidate,
    heat: map.terms
      .filter(term =>
        isSameIncarnation(term.next ?? term.holder, candidate.incarnation),
      )
      .filter(term => term.state !== 'free')
      .reduce((sum, term) => sum + rateOfRange(heat, term.from, term.to), 0),
  }));
}

/** Returns the heat and the capacity of all candidates together. */
function totalOf(loads: readonly CandidateLoad[]) {
  const heat = loads.reduce((sum, load) => sum + load.rate, 0);
  const capacity = loads.reduce((sum, l) => sum + l.candidate.capacity, 0);
  return {heat, capacity};
}

const utilization = (load: CandidateLoad) =>
  load.rate / load.candidate.capacity;

/**
 * Places the free ranges on the candidates that are left with most room.
 *
 * @example
 * placeFree(map, planFree(map, heat, candidates));
 */
export function planFree(
  map: RangeMap,
  rates: RequestRates,
  candidates: readonly Candidate[],
): readonly Placement[] {
  if (candidates.length === 0) return [];
  const loads = loadsOf(map, rates, candidates);
  const placements: Placement[] = [];
  for (const term of map.terms) {
    if (term.state !== 'free') continue;
    placements.push(...distribute(rates, term, loads));
  }
  return placements;
}

/** Spreads one range over as many candidates as its heat asks for. */
function distribute(
  rates: RequestRates,
  term: RangeTerm,
  loads: readonly CandidateLoad[],
): readonly Placement[] {
  const rangeRate = rateOfRange(rates, term.from, term.to);
  const {heat: others, capacity} = totalOf(loads);
  const total = others + rangeRate;
  const room = loads
    .map(load => ({
      load,
      room: (total * load.candidate.capacity) / capacity - load.rate,
    }))
    .sort((a, b) => b.room - a.room);
  const chosen = room.filter(
    ({room}, index) => index === 0 || room > rangeRate * MIN_MOVE_SHARE,
  );
  const recipients = chosen.map(({load, room}) => ({
    incarnation: load.candidate.incarnation,
    capacity: Math.max(room, rangeRate * MIN_MOVE_SHARE),
  }));
  const placements = divide(rates, term.from, term.to, recipients);
  for (const {from, to, holder} of placements) {
    const load = loads.find(l =>
      isSameIncarnation(l.candidate.incarnation, holder),
    );
    if (load) load.rate += rateOfRange(rates, from, to);
  }
  return placements;
}

/**
 * Moves everything away from holders that are leaving.
 *
 * @param isLeaving Tells whether a holder is leaving.
 *
 * @example
 * startMoves(map, planLeaving(map, heat, candidates, isDraining));
 */
export function planDraining(
  map: RangeMap,
  rates: RequestRates,
  candidates: readonly Candidate[],
  isLeaving: (life: Incarnation) => boolean,
): readonly Placement[] {
  if (candidates.length === 0) return [];
  const loads = loadsOf(map, rates, candidates);
  return map.terms
    .filter(term => term.state === 'held' && isLeaving(term.holder))
    .flatMap(term => distribute(rates, term, loads));
}

/**
 * Moves load from the candidates with the highest utilization to those with the
 * lowest, in pieces cut from the end of a range.
 *
 * Answers instances of unequal speed, instances that join empty, and keys that
 * become busy.
 *
 * @example
 * const settings = {tolerance: 1.2, ease: 0.55, moves: 4};
 * startMoves(map, planBalance(map, heat, candidates, settings));
 */
export function planBalance(
  map: RangeMap,
  heat: RequestRates,
  candidates: readonly Candidate[],
  settings: PlanSettings,
): readonly Placement[] {
  if (candidates.length < 2) return [];
  const loads = loadsOf(map, heat, candidates);
  const total = totalOf(loads);
  const mean = total.heat / total.capacity;
  const moves: Placement[] = [];
  const movedTerms = new Set<RangeTerm>();
  while (moves.length < settings.maxMoves) {
    const sorted = [...loads].sort((a, b) => utilization(b) - utilization(a));
    const hot = sorted[0];
    const cold = sorted[sorted.length - 1];
    if (utilization(hot) < mean * settings.tolerance) break;
    const isLowLoad = utilization(hot) < settings.lowUtilization;
    if (isLowLoad && utilization(cold) >= mean * UNLOADED_SHARE) break;
    const excess = hot.rate - mean * hot.candidate.capacity;
    const room = mean * cold.candidate.capacity - cold.rate;
    const targetRate = Math.min(excess, room);
    if (targetRate < mean * cold.candidate.capacity * MIN_MOVE_SHARE) break;
    const piece = choosePiece(
      map,
      heat,
      hot.candidate.incarnation,
      targetRate,
      movedTerms,
    );
    if (!piece) break;
    movedTerms.add(piece.term);
    moves.push({
      from: piece.from,
      to: piece.to,
      holder: cold.candidate.incarnation,
    });
    hot.rate -= piece.rate;
    cold.rate += piece.rate;
  }
  return moves;
}

interface Piece {
  readonly term: RangeTerm;
  readonly from: number;
  readonly to: number;
  readonly rate: number;
}

/** Chooses a piece of a holder's ranges with at most some heat. */
function choosePiece(
  map: RangeMap,
  rates: RequestRates,
  holder: Incarnation,
  targetRate: number,
  movedTerms: ReadonlySet<RangeTerm>,
): Piece | undefined {
  let best: Piece | undefined;
  for (const term of map.terms) {
    if (term.state !== 'held' || !isSameIncarnation(term.holder, holder))
      continue;
    if (movedTerms.has(term)) continue;
    const wholeRate = rateOfRange(rates, term.from, term.to);
    const to =
      wholeRate <= targetRate
        ? term.to
        : findCut(rates, term.from, term.to, targetRate);
    const piece = {
      term,
      from: term.from,
      to,
      rate: rateOfRange(rates, term.from, to),
    };
    if (piece.rate > targetRate * MAX_PIECE_FACTOR) continue;
    if (!best || piece.rate > best.rate) best = piece;
  }
  return best;
}

/** Share by which a piece may exceed the heat that is to be moved. */
const MAX_PIECE_FACTOR = 1.3;
