/** Highest key of the key space. */
export const LAST_KEY = 65_535;

/** One run of an upstream instance, from its start to its end. */
export interface Incarnation {
  /** Address of the daemon beside the instance, as `ip:port`. */
  readonly node: string;
  readonly id: string;
  /** Start time of this run, in Unix milliseconds. */
  readonly born: number;
  /**
   * Position among the incarnations at the daemon, in place of `born`; present
   * if the daemon found that it started after one with a later `born`.
   */
  readonly order?: number;
}

/**
 * State of a term.
 *
 * - `held`: the holder may be granted the keys.
 * - `moving`: the holder must release the keys to the next holder.
 * - `revoked`: the holder is considered lost; its last grant must expire first.
 * - `free`: no holder; the keys can be assigned.
 */
export type TermState = 'held' | 'moving' | 'revoked' | 'free';

/** A contiguous range of keys. */
export interface KeyRange {
  readonly from: number;
  /** Last key of the range, inclusive. */
  readonly to: number;
}

/** A range of keys with its holder and fencing token. */
export interface RangeTerm extends KeyRange {
  /** Fencing token of the holder; a later holder of a key gets a higher one. */
  readonly fence: number;
  readonly holder: Incarnation;
  readonly state: TermState;
  /** Token of the previous holder's release, which avoids a warm-up; or ''. */
  readonly handover: string;
  /** Next holder of a `moving` term. */
  readonly next?: Incarnation;
  /** Number that identifies the revocation; present with `revoked`. */
  readonly revocation?: number;
}

/** All terms of one service in key order, without gaps. */
export interface RangeMap {
  /** Highest fencing token or revocation number used so far. */
  readonly fence: number;
  readonly terms: readonly RangeTerm[];
  /** Era of the store in which the map was written; 0 if missing. */
  readonly era?: number;
  /**
   * Token up to which changes that the store lost may have granted keys; missing
   * if it has lost none.
   */
  readonly floor?: number;
  /** Whether leases of such grants may still last. */
  readonly isRecovering?: true;
}

/**
 * Returns whether two ranges share a key.
 *
 * @example
 * overlaps({from: 0, to: 9}, {from: 9, to: 20}); // true
 */
export function overlaps(a: KeyRange, b: KeyRange): boolean {
  return a.from <= b.to && b.from <= a.to;
}

/**
 * Takes the keys of a range out of other ranges, which may be split by that.
 *
 * @example
 * subtract([{from: 0, to: 9}], {from: 3, to: 4}); // 0 to 2 and 5 to 9
 */
export function subtract<T extends KeyRange>(
  ranges: readonly T[],
  hole: KeyRange,
): readonly T[] {
  return ranges.flatMap(range => {
    if (!overlaps(range, hole)) return [range];
    const below = {...range, to: hole.from - 1};
    const above = {...range, from: hole.to + 1};
    return [below, above].filter(({from, to}) => from <= to);
  });
}

/**
 * Returns whether a range contains all of another range.
 *
 * @example
 * covers({from: 0, to: 9}, {from: 3, to: 9}); // true
 */
export function covers(range: KeyRange, part: KeyRange): boolean {
  return range.from <= part.from && part.to <= range.to;
}

/**
 * Returns whether a range contains a key.
 *
 * @example
 * contains({from: 0, to: 9}, 9); // true
 */
export function contains({from, to}: KeyRange, key: number): boolean {
  return from <= key && key <= to;
}

/** Map of a service whose keys were never assigned. */
export const EMPTY_MAP: RangeMap = {fence: 0, terms: []};

/**
 * Returns whether both values are defined and name the same incarnation.
 *
 * @example
 * isSameIncarnation({node: 'a', id: 'i', born: 1}, {node: 'a', id: 'i', born: 2}); // false
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
 * Returns the position of an incarnation among those at its daemon: of two, the
 * one with the higher position started later.
 *
 * @example
 * orderOf({node: 'a', id: 'i', born: 7}); // 7
 */
export function orderOf({
  born,
  order = born,
}: Pick<Incarnation, 'born' | 'order'>): number {
  return order;
}

/**
 * Finds the term that contains a key by binary search.
 *
 * @returns undefined when the key was never assigned.
 *
 * @example
 * findTerm(map, 4711)?.holder.node;
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
 * Returns the `held` terms of an incarnation, which it may be granted.
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
 * Returns the terms of a map whose holders are at a daemon, without `free` ones.
 * They are found once for each map, since a fleet has many terms and a daemon
 * needs its own with each heartbeat.
 *
 * @example
 * termsHeldAt(map, '10.1.0.8:7620').map(({holder}) => holder.id);
 */
export function termsHeldAt(map: RangeMap, node: string): readonly RangeTerm[] {
  const found = termsByNode.get(map);
  if (found?.node === node) return found.terms;
  const terms = map.terms.filter(
    ({state, holder}) => state !== 'free' && holder.node === node,
  );
  termsByNode.set(map, {node, terms});
  return terms;
}

/** Terms that were found last in each map. */
const termsByNode = new WeakMap<
  RangeMap,
  {readonly node: string; readonly terms: readonly RangeTerm[]}
>();

/**
 * Returns whether an incarnation gives or gets keys, or a key has no holder.
 *
 * @example
 * hasTermsInTransit(map, incarnation); // false if all terms are held
 */
export function hasTermsInTransit(
  map: RangeMap,
  incarnation: Incarnation,
): boolean {
  return map.terms.some(({state, holder, next}) => {
    if (state === 'held') return false;
    return (
      state === 'free' ||
      isSameIncarnation(holder, incarnation) ||
      isSameIncarnation(next, incarnation)
    );
  });
}

/**
 * Splits the terms at the bounds of a range, so that the range consists of
 * whole terms. Each part keeps all other fields of its term.
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

/** Computes the new value of a term; returns the same object for no change. */
export type TermChange = (term: RangeTerm) => RangeTerm;

/**
 * Applies a change to every term and merges adjacent terms that differ only in
 * their keys.
 *
 * @returns the same map object when nothing changed.
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
  return hasChanged ? {...map, fence, terms} : map;
}

/** Returns whether two terms are adjacent and equal except for their keys. */
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

/** Describes why a stored value is not a term that starts at a key. */
function findTermProblem(
  term: RangeTerm | null,
  from: number,
): string | undefined {
  if (term?.from !== from || !Number.isInteger(term.to) || term.to < from) {
    return 'expected `from` to follow the previous term and `to` not to precede it';
  }
  if (!Number.isInteger(term.fence)) return 'expected an integer fencing token';
  if (!TERM_STATES.has(term.state))
    return 'expected the state held, moving, revoked or free';
  if (typeof term.handover !== 'string') return 'expected a handover string';
  const isMoving = term.state === 'moving' || term.next !== undefined;
  const incarnations = isMoving ? [term.holder, term.next] : [term.holder];
  return incarnations.every(isIncarnation)
    ? undefined
    : 'expected node, id and born of each holder';
}

function isIncarnation(value: Incarnation | undefined): boolean {
  return (
    typeof value?.node === 'string' &&
    typeof value.id === 'string' &&
    Number.isInteger(value.born) &&
    Number.isInteger(orderOf(value))
  );
}

/** Reason why stored text is not a valid map. */
export interface MapProblem {
  readonly problem: string;
}

/**
 * Parses a stored map and checks that its terms are in key order, without gaps,
 * and cover all keys. A map without terms is valid.
 *
 * @returns the map, or the reason why the text is not a valid map.
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
    return {
      problem: `expected a range map in JSON: ${(error as Error).message}`,
    };
  }
  if (!Number.isInteger(map?.fence) || !Array.isArray(map.terms)) {
    return {
      problem: 'expected an integer `fence` and an array `terms` in the map',
    };
  }
  const {era = 0, floor = 0, isRecovering = true} = map;
  if (![era, floor].every(Number.isInteger) || isRecovering !== true) {
    return {
      problem:
        'expected integers in `era` and `floor` and true in `isRecovering`',
    };
  }
  let nextKey = 0;
  for (const term of map.terms) {
    const problem = findTermProblem(term, nextKey);
    if (problem) return {problem: `${problem} in the term at key ${nextKey}`};
    nextKey = term.to + 1;
  }
  const isComplete = nextKey === 0 || nextKey === LAST_KEY + 1;
  return isComplete
    ? map
    : {
        problem: `expected terms that cover all keys, but they end before key ${nextKey}`,
      };
}
