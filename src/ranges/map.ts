/** Highest key of the ordered key space. */
export const LAST_KEY = 65_535;

/** One life of an upstream instance, from its start to its end. */
export interface Incarnation {
  /** Address of the daemon beside the instance, as `ip:port`. */
  readonly node: string;
  readonly id: string;
  /** Start of this life, in Unix milliseconds. */
  readonly born: number;
}

/**
 * State of a term.
 *
 * - `held`: the holder may be granted the keys.
 * - `moving`: the holder is to release the keys to the next one.
 * - `revoked`: the holder is taken to be lost; its last grant has to run out.
 * - `free`: nobody holds the keys.
 */
export type TermState = 'held' | 'moving' | 'revoked' | 'free';

/** Keys that lie together. */
export interface KeyRange {
  readonly from: number;
  /** Last key of the range. */
  readonly to: number;
}

/** A range of keys and who may hold it under which fencing token. */
export interface RangeTerm extends KeyRange {
  readonly fence: number;
  readonly holder: Incarnation;
  readonly state: TermState;
  /** Token of the previous holder's release, which spares the warm-up; or ''. */
  readonly handover: string;
  /** Who gets the keys of a term that is `moving`. */
  readonly next?: Incarnation;
  /** Tells one revocation from a later one; present with `revoked`. */
  readonly revocation?: number;
}

/** All terms of one service in the order of their keys, without gaps. */
export interface RangeMap {
  /** Highest fencing token or revocation number used so far. */
  readonly fence: number;
  readonly terms: readonly RangeTerm[];
}

/**
 * Tells whether two ranges have a key in common.
 *
 * @example
 * overlaps({from: 0, to: 9}, {from: 9, to: 20}); // true
 */
export function overlaps(a: KeyRange, b: KeyRange): boolean {
  return a.from <= b.to && b.from <= a.to;
}

/**
 * Tells whether a range lies in another one.
 *
 * @example
 * covers({from: 0, to: 9}, {from: 3, to: 9}); // true
 */
export function covers(range: KeyRange, part: KeyRange): boolean {
  return range.from <= part.from && part.to <= range.to;
}

/**
 * Tells whether a key lies in a range.
 *
 * @example
 * contains({from: 0, to: 9}, 9); // true
 */
export function contains({from, to}: KeyRange, key: number): boolean {
  return from <= key && key <= to;
}

/** The map of a service of which no key was ever assigned. */
export const EMPTY_MAP: RangeMap = {fence: 0, terms: []};

/**
 * Tells whether two incarnations are the same life.
 *
 * @example
 * sameLife({node: 'a', id: 'i', born: 1}, {node: 'a', id: 'i', born: 2}); // false
 */
export function isSameIncarnation(
  a: Incarnation | undefined,
  b: Incarnation | undefined,
): boolean {
  return (
    a !== undefined &&
    b !== undefined &&
    a.node === b.node &&
    a.id === b.id &&
    a.born === b.born
  );
}

/**
 * Finds the term of a key by binary search.
 *
 * @returns undefined when the key was never assigned.
 *
 * @example
 * termOf(map, 4711)?.holder.node;
 */
export function findTerm(map: RangeMap, key: number): RangeTerm | undefined {
  let low = 0;
  let high = map.terms.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const term = map.terms[middle];
    if (key < term.from) high = middle - 1;
    else if (key > term.to) low = middle + 1;
    else return term;
  }
  return undefined;
}

/**
 * Returns the terms that an incarnation may be granted.
 *
 * @example
 * heldBy(map, incarnation).map(term => [term.from, term.to, term.fence]);
 */
export function heldBy(
  map: RangeMap,
  incarnation: Incarnation,
): readonly RangeTerm[] {
  return map.terms.filter(
    term =>
      term.state === 'held' && isSameIncarnation(term.holder, incarnation),
  );
}

/**
 * Splits the terms at the edges of a range, so that the range is made up of
 * whole terms. A part keeps everything of its term but the edges.
 *
 * @example
 * splitAt({fence: 1, terms: [whole]}, 100, 199).terms.length; // 3
 */
export function splitAt(map: RangeMap, from: number, to: number): RangeMap {
  const terms: RangeTerm[] = [];
  for (const term of map.terms) {
    let remainder = term;
    for (const edge of [from, to + 1]) {
      if (edge <= remainder.from || edge > remainder.to) continue;
      terms.push({...remainder, to: edge - 1});
      remainder = {...remainder, from: edge};
    }
    terms.push(remainder);
  }
  return {...map, terms};
}

/** Changes one term; returns it unchanged to leave it as it is. */
export type TermChange = (term: RangeTerm) => RangeTerm;

/**
 * Applies a change to every term and joins neighbours that have become equal.
 *
 * @returns the same map when nothing changed.
 *
 * @example
 * changeTerms(map, term => ({...term, state: 'free'}));
 */
export function changeTerms(map: RangeMap, change: TermChange): RangeMap {
  let hasChanged = false;
  let {fence} = map;
  const terms: RangeTerm[] = [];
  for (const term of map.terms) {
    const next = change(term);
    hasChanged ||= next !== term;
    fence = Math.max(fence, next.fence);
    const last = terms.at(-1);
    if (last && canMerge(last, next)) {
      terms[terms.length - 1] = {...last, to: next.to};
    } else {
      terms.push(next);
    }
  }
  return hasChanged ? {fence, terms} : map;
}

function canMerge(a: RangeTerm, b: RangeTerm): boolean {
  return (
    a.to + 1 === b.from &&
    a.fence === b.fence &&
    a.state === b.state &&
    a.handover === b.handover &&
    a.revocation === b.revocation &&
    isSameIncarnation(a.holder, b.holder) &&
    (a.next === b.next || isSameIncarnation(a.next, b.next))
  );
}

const TERM_STATES: ReadonlySet<unknown> = new Set([
  'held',
  'moving',
  'revoked',
  'free',
] satisfies readonly TermState[]);

/** Tells why a value that was read is no term that begins at a key. */
function findTermProblem(
  term: RangeTerm | null,
  from: number,
): string | undefined {
  if (term?.from !== from || !Number.isInteger(term.to) || term.to < from) {
    return 'terms have a gap';
  }
  if (!Number.isInteger(term.fence)) return 'a term has no fencing token';
  if (!TERM_STATES.has(term.state)) return 'the state of a term is not known';
  if (typeof term.handover !== 'string') return 'a term has no handover';
  const isMoving = term.state === 'moving' || term.next !== undefined;
  const incarnations = isMoving ? [term.holder, term.next] : [term.holder];
  return incarnations.every(isIncarnation) ? undefined : 'a term has no holder';
}

function isIncarnation(value: Incarnation | undefined): boolean {
  return (
    typeof value?.node === 'string' &&
    typeof value.id === 'string' &&
    Number.isInteger(value.born)
  );
}

/** Why stored text is not a map. */
export interface MapProblem {
  readonly problem: string;
}

/**
 * Reads a map from stored JSON and checks that its terms are in order and
 * without gaps.
 *
 * @example
 * const map = parseMap(text);
 * if ('problem' in map) log(RANGE_EVENTS.unreadable, map);
 */
export function parseMap(text: string): RangeMap | MapProblem {
  let map: RangeMap;
  try {
    map = JSON.parse(text) as RangeMap;
  } catch (error) {
    return {problem: `not JSON: ${(error as Error).message}`};
  }
  if (!Number.isInteger(map?.fence) || !Array.isArray(map.terms)) {
    return {problem: 'fence or terms are missing'};
  }
  let nextKey = 0;
  for (const term of map.terms) {
    const problem = findTermProblem(term, nextKey);
    if (problem) return {problem: `${problem} at key ${nextKey}`};
    nextKey = term.to + 1;
  }
  const isComplete = nextKey === 0 || nextKey === LAST_KEY + 1;
  return isComplete ? map : {problem: `terms end before key ${nextKey}`};
}
