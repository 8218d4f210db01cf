import type {Placement} from './change.js';
import {
  LAST_KEY,
  sameLife,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from './map.js';

/** Number of equal parts of the key space in which arrivals are counted. */
export const HEAT_PARTS = 1024;

const PART_KEYS = (LAST_KEY + 1) / HEAT_PARTS;

/** Requests a second for each part of the key space. */
export type Heat = readonly number[];

/** An incarnation that may hold keys, as the planner knows it. */
export interface Candidate {
  readonly life: Incarnation;
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
  readonly ease: number;
  /** Most ranges moved by one plan. */
  readonly moves: number;
}

/** Load that each part has at least, so that idle keys are spread as well. */
const IDLE_HEAT = 0.02;

/** Share of the mean utilization below which a candidate has hardly any load. */
const SPARE_SHARE = 0.5;

/** Smallest share of a mean load that is worth a move. */
const WORTH_MOVING = 0.1;

/**
 * Sums up the heat of a range of keys; a part that lies in it partly counts
 * with its share.
 *
 * @example
 * heatOf(heat, 0, 127); // the first two of 1,024 parts
 */
export function heatOf(heat: Heat, from: number, to: number): number {
  let sum = 0;
  for (let key = from; key <= to;) {
    const part = Math.floor(key / PART_KEYS);
    const end = Math.min(to, (part + 1) * PART_KEYS - 1);
    const share = (end - key + 1) / PART_KEYS;
    sum += ((heat[part] ?? 0) + IDLE_HEAT) * share;
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
  heat: Heat,
  from: number,
  to: number,
  candidates: readonly Candidate[],
): readonly Placement[] {
  const total = heatOf(heat, from, to);
  const capacity = candidates.reduce((sum, c) => sum + c.capacity, 0);
  const parts: Placement[] = [];
  let start = from;
  let left = candidates.length;
  for (const {life, capacity: own} of candidates) {
    left -= 1;
    if (start > to) break;
    const isLast = left === 0;
    const goal = (total * own) / capacity;
    const end = isLast ? to : cutAt(heat, start, to, goal);
    parts.push({from: start, to: end, holder: life});
    start = end + 1;
  }
  return parts;
}

/** Returns the last key at which a range from `from` reaches a heat. */
function cutAt(heat: Heat, from: number, to: number, goal: number): number {
  let sum = 0;
  for (let key = from; key <= to;) {
    const end = Math.min(to, key - (key % PART_KEYS) + PART_KEYS - 1);
    const here = heatOf(heat, key, end);
    if (sum + here >= goal) {
      const keys = Math.floor(((goal - sum) / here) * (end - key + 1));
      return Math.max(from, Math.min(to, key + keys - 1));
    }
    sum += here;
    key = end + 1;
  }
  return to;
}

interface Load {
  readonly candidate: Candidate;
  heat: number;
}

function loadsOf(
  map: RangeMap,
  heat: Heat,
  candidates: readonly Candidate[],
): readonly Load[] {
  return candidates.map(candidate => ({
    candidate,
    heat: map.terms
      .filter(term => sameLife(term.next ?? term.holder, candidate.life))
      .filter(term => term.state !== 'free')
      .reduce((sum, term) => sum + heatOf(heat, term.from, term.to), 0),
  }));
}

/** Returns the heat and the capacity of all candidates together. */
function totalOf(loads: readonly Load[]) {
  const heat = loads.reduce((sum, load) => sum + load.heat, 0);
  const capacity = loads.reduce((sum, l) => sum + l.candidate.capacity, 0);
  return {heat, capacity};
}

const utilization = (load: Load) => load.heat / load.candidate.capacity;

/**
 * Places the free ranges on the candidates that are left with most room.
 *
 * @example
 * placeFree(map, planFree(map, heat, candidates));
 */
export function planFree(
  map: RangeMap,
  heat: Heat,
  candidates: readonly Candidate[],
): readonly Placement[] {
  if (candidates.length === 0) return [];
  const loads = loadsOf(map, heat, candidates);
  const placements: Placement[] = [];
  for (const term of map.terms) {
    if (term.state !== 'free') continue;
    placements.push(...spread(heat, term, loads));
  }
  return placements;
}

/** Spreads one range over as many candidates as its heat asks for. */
function spread(
  heat: Heat,
  term: RangeTerm,
  loads: readonly Load[],
): readonly Placement[] {
  const own = heatOf(heat, term.from, term.to);
  const {heat: others, capacity} = totalOf(loads);
  const total = others + own;
  const room = loads
    .map(load => ({
      load,
      room: (total * load.candidate.capacity) / capacity - load.heat,
    }))
    .sort((a, b) => b.room - a.room);
  const chosen = room.filter(
    ({room}, index) => index === 0 || room > own * WORTH_MOVING,
  );
  const takers = chosen.map(({load, room}) => ({
    life: load.candidate.life,
    capacity: Math.max(room, own * WORTH_MOVING),
  }));
  const placements = divide(heat, term.from, term.to, takers);
  for (const {from, to, holder} of placements) {
    const load = loads.find(l => sameLife(l.candidate.life, holder));
    if (load) load.heat += heatOf(heat, from, to);
  }
  return placements;
}

/**
 * Moves everything away from holders that are leaving.
 *
 * @param leaves Tells whether a holder is leaving.
 *
 * @example
 * startMoves(map, planLeaving(map, heat, candidates, isDraining));
 */
export function planLeaving(
  map: RangeMap,
  heat: Heat,
  candidates: readonly Candidate[],
  leaves: (life: Incarnation) => boolean,
): readonly Placement[] {
  if (candidates.length === 0) return [];
  const loads = loadsOf(map, heat, candidates);
  return map.terms
    .filter(term => term.state === 'held' && leaves(term.holder))
    .flatMap(term => spread(heat, term, loads));
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
  heat: Heat,
  candidates: readonly Candidate[],
  settings: PlanSettings,
): readonly Placement[] {
  if (candidates.length < 2) return [];
  const loads = loadsOf(map, heat, candidates);
  const total = totalOf(loads);
  const mean = total.heat / total.capacity;
  const moves: Placement[] = [];
  const taken = new Set<RangeTerm>();
  while (moves.length < settings.moves) {
    const sorted = [...loads].sort((a, b) => utilization(b) - utilization(a));
    const hot = sorted[0];
    const cold = sorted[sorted.length - 1];
    if (utilization(hot) < mean * settings.tolerance) break;
    const isEasy = utilization(hot) < settings.ease;
    if (isEasy && utilization(cold) >= mean * SPARE_SHARE) break;
    const excess = hot.heat - mean * hot.candidate.capacity;
    const room = mean * cold.candidate.capacity - cold.heat;
    const goal = Math.min(excess, room);
    if (goal < mean * cold.candidate.capacity * WORTH_MOVING) break;
    const piece = choosePiece(map, heat, hot.candidate.life, goal, taken);
    if (!piece) break;
    taken.add(piece.term);
    moves.push({from: piece.from, to: piece.to, holder: cold.candidate.life});
    hot.heat -= piece.heat;
    cold.heat += piece.heat;
  }
  return moves;
}

interface Piece {
  readonly term: RangeTerm;
  readonly from: number;
  readonly to: number;
  readonly heat: number;
}

/** Chooses a piece of a holder's ranges with at most some heat. */
function choosePiece(
  map: RangeMap,
  heat: Heat,
  holder: Incarnation,
  goal: number,
  taken: ReadonlySet<RangeTerm>,
): Piece | undefined {
  let best: Piece | undefined;
  for (const term of map.terms) {
    if (term.state !== 'held' || !sameLife(term.holder, holder)) continue;
    if (taken.has(term)) continue;
    const whole = heatOf(heat, term.from, term.to);
    const to = whole <= goal ? term.to : cutAt(heat, term.from, term.to, goal);
    const piece = {
      term,
      from: term.from,
      to,
      heat: heatOf(heat, term.from, to),
    };
    if (piece.heat > goal * OVERSHOOT) continue;
    if (!best || piece.heat > best.heat) best = piece;
  }
  return best;
}

/** Share by which a piece may exceed the heat that is to be moved. */
const OVERSHOOT = 1.3;
