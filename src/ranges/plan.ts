import type {Placement} from './change.js';
import {
  LAST_KEY,
  isSameIncarnation,
  type Incarnation,
  type KeyRange,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** Number of equal buckets of the key space in which requests are counted. */
export const RATE_BUCKETS = 1024;

const KEYS_PER_BUCKET = (LAST_KEY + 1) / RATE_BUCKETS;

/** Request rate of each bucket of the key space, in requests per second. */
export type RequestRates = readonly number[];

/** An incarnation to which the planner may assign keys. */
export interface Candidate {
  readonly incarnation: Incarnation;
  /** Requests per second that it can execute. */
  readonly capacity: number;
}

/** Settings of the balancing of keys. */
export interface PlanSettings {
  /** Factor by which a utilization must exceed the mean for moves to start. */
  readonly tolerance: number;
  /**
   * Utilization below which requests hardly wait, from 0 to 1. Below it, keys
   * move only to a candidate that is almost unloaded.
   */
  readonly lowUtilization: number;
  /** Maximum number of ranges that one plan moves. */
  readonly maxMoves: number;
}

/** Minimum rate of a bucket, so that idle keys are distributed as well. */
const IDLE_BUCKET_RATE = 0.02;

/**
 * Highest utilization that a plan gives a recipient: what is beyond it would be
 * refused there, too.
 */
const FULL_UTILIZATION = 1;

/** Share of the mean utilization below which a candidate is almost unloaded. */
const UNLOADED_SHARE = 0.5;

/**
 * Minimum size of a move, as a share of a candidate's load at mean utilization.
 */
const MIN_MOVE_SHARE = 0.1;

/**
 * Sums up the request rate of a range of keys. A bucket that the range covers
 * in part counts in proportion.
 *
 * @example
 * rateOfRange(rates, 0, 127); // the first two of 1,024 buckets
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
 * Divides a range among candidates, one part each, so that the request rate of
 * a part is proportional to the capacity of its candidate.
 *
 * Used when a service starts and for keys whose holder is lost.
 *
 * @returns an empty list when there is no candidate.
 *
 * @example
 * divide(rates, 0, LAST_KEY, candidates);
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
  for (const {incarnation, capacity: own} of candidates) {
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

/**
 * Returns the last key of the part that starts at `from` and has a given rate.
 */
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

/** A candidate and the request rate of its keys; updated while planning. */
interface CandidateLoad {
  readonly candidate: Candidate;
  rate: number;
}

/** Returns the rate of the keys that each candidate holds or will receive. */
function loadsOf(
  map: RangeMap,
  rates: RequestRates,
  candidates: readonly Candidate[],
): readonly CandidateLoad[] {
  return candidates.map(candidate => ({
    candidate,
    rate: map.terms
      .filter(term =>
        isSameIncarnation(term.next ?? term.holder, candidate.incarnation),
      )
      .filter(term => term.state !== 'free')
      .reduce((sum, term) => sum + rateOfRange(rates, term.from, term.to), 0),
  }));
}

/** Returns the total rate and capacity of all candidates. */
function totalOf(loads: readonly CandidateLoad[]) {
  const rate = loads.reduce((sum, load) => sum + load.rate, 0);
  const capacity = loads.reduce((sum, l) => sum + l.candidate.capacity, 0);
  return {rate, capacity};
}

const utilization = (load: CandidateLoad) =>
  load.rate / load.candidate.capacity;

/**
 * Assigns the free ranges to the candidates with the most spare capacity.
 *
 * @example
 * placeFree(map, planFree(map, rates, candidates));
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

/** Divides one range among as many candidates as its rate requires. */
function distribute(
  rates: RequestRates,
  term: RangeTerm,
  loads: readonly CandidateLoad[],
): readonly Placement[] {
  const rangeRate = rateOfRange(rates, term.from, term.to);
  const {rate: others, capacity} = totalOf(loads);
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
 * Plans the moves of all keys away from holders that are draining or have left.
 *
 * @param isLeaving Returns whether a holder is one of these.
 *
 * @example
 * startMoves(map, planDraining(map, rates, candidates, isDraining));
 */
export function planDraining(
  map: RangeMap,
  rates: RequestRates,
  candidates: readonly Candidate[],
  isLeaving: (incarnation: Incarnation) => boolean,
): readonly Placement[] {
  if (candidates.length === 0) return [];
  const loads = loadsOf(map, rates, candidates);
  return map.terms
    .filter(term => term.state === 'held' && isLeaving(term.holder))
    .flatMap(term => distribute(rates, term, loads));
}

/**
 * Plans moves of load from the candidates with the highest utilization to those
 * with the lowest, in pieces cut from either end of a range.
 *
 * Handles instances of different speed, instances that join without keys, and
 * keys that become busy. Busy keys may be close to one another, so one holder
 * may give pieces to many recipients, of which none gets more than it can
 * execute. A holder whose keys cannot be divided further is left as it is.
 *
 * @param recipients Candidates that may get keys; all may give keys away.
 *
 * @example
 * const settings = {tolerance: 1.2, lowUtilization: 0.55, maxMoves: 4};
 * startMoves(map, planBalance(map, rates, candidates, settings));
 */
export function planBalance(
  map: RangeMap,
  rates: RequestRates,
  candidates: readonly Candidate[],
  settings: PlanSettings,
  recipients = candidates,
): readonly Placement[] {
  if (candidates.length < 2) return [];
  const loads = loadsOf(map, rates, candidates);
  const total = totalOf(loads);
  const mean = total.rate / total.capacity;
  const target = Math.min(mean, FULL_UTILIZATION);
  const isRecipient = ({candidate}: CandidateLoad) =>
    recipients.includes(candidate);
  const moves: Placement[] = [];
  let parts = heldParts(map);
  let givers = loads;
  while (moves.length < settings.maxMoves) {
    const hot = busiestOf(givers);
    const cold = idlestOf(loads.filter(isRecipient));
    if (!hot || !cold || cold === hot) break;
    if (utilization(hot) < target * settings.tolerance) break;
    const isLowLoad = utilization(hot) < settings.lowUtilization;
    if (isLowLoad && utilization(cold) >= mean * UNLOADED_SHARE) break;
    const excess = hot.rate - target * hot.candidate.capacity;
    const room = target * cold.candidate.capacity - cold.rate;
    const minRate = target * cold.candidate.capacity * MIN_MOVE_SHARE;
    if (room < minRate) break;
    const piece =
      excess >= minRate &&
      choosePiece(
        parts,
        rates,
        hot.candidate.incarnation,
        Math.min(excess, room),
      );
    if (!piece) {
      givers = givers.filter(load => load !== hot);
      continue;
    }
    parts = parts.flatMap(part => (part === piece.part ? piece.rest : [part]));
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

const busiestOf = (loads: readonly CandidateLoad[]) =>
  maxBy(loads, utilization);

const idlestOf = (loads: readonly CandidateLoad[]) =>
  maxBy(loads, load => -utilization(load));

function maxBy<T>(
  values: readonly T[],
  valueOf: (value: T) => number,
): T | undefined {
  return values.reduce<T | undefined>(
    (best, value) =>
      best === undefined || valueOf(value) > valueOf(best) ? value : best,
    undefined,
  );
}

/** Keys of a held term that no plan moves yet. */
type Part = Pick<RangeTerm, 'from' | 'to' | 'holder'>;

const heldParts = ({terms}: RangeMap): readonly Part[] =>
  terms.filter(({state}) => state === 'held');

/** A piece of a part that can be moved. */
interface Piece extends KeyRange {
  readonly part: Part;
  readonly rate: number;
  /** What is left of the part. */
  readonly rest: readonly Part[];
}

/**
 * Chooses the busiest piece of a holder's keys that fits a target rate: a whole
 * part, or one end of it, whichever moves fewer keys for each request.
 */
function choosePiece(
  parts: readonly Part[],
  rates: RequestRates,
  holder: Incarnation,
  targetRate: number,
): Piece | undefined {
  const pieces = parts
    .filter(part => isSameIncarnation(part.holder, holder))
    .flatMap(part => piecesOf(part, rates, targetRate))
    .filter(({rate}) => rate <= targetRate * MAX_PIECE_FACTOR);
  const most = Math.max(0, ...pieces.map(({rate}) => rate));
  const busy = pieces.filter(({rate}) => rate >= most * SIMILAR_RATE_SHARE);
  return maxBy(busy, ({from, to, rate}) => rate / (to - from + 1));
}

function piecesOf(
  part: Part,
  rates: RequestRates,
  targetRate: number,
): readonly Piece[] {
  const {from, to, holder} = part;
  const pieceOf = (range: KeyRange, rest: readonly KeyRange[]): Piece => ({
    ...range,
    part,
    rate: rateOfRange(rates, range.from, range.to),
    rest: rest.map(({from, to}) => ({from, to, holder})),
  });
  const wholeRate = rateOfRange(rates, from, to);
  if (wholeRate <= targetRate) return [pieceOf({from, to}, [])];
  const cutAt = (end: number) => [
    {from, to: end},
    {from: end + 1, to},
  ];
  const [head, afterHead] = cutAt(findCut(rates, from, to, targetRate));
  const [beforeTail, tail] = cutAt(
    findCut(rates, from, to, wholeRate - targetRate),
  );
  return [
    ...(head.to < to ? [pieceOf(head, [afterHead])] : []),
    ...(tail.from <= to ? [pieceOf(tail, [beforeTail])] : []),
  ];
}

/** Factor by which the rate of a piece may exceed the target rate. */
const MAX_PIECE_FACTOR = 1.3;

/** Share of the busiest piece's rate from which another piece is as good. */
const SIMILAR_RATE_SHARE = 0.7;
