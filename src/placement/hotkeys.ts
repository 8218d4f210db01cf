import {
  sameLease,
  sliceOfKey,
  type Chunk,
  type LeaseId,
  type Service,
  type SliceRecord,
} from '../model/index.js';
import {
  appendTerms,
  leasesOf,
  readChain,
  type Chain,
  type TermEndCheck,
} from './chain.js';
import {chunkOfSlice} from './layout.js';

/** Number of slices that each chunk reserves for single hot keys. */
export const HOT_SLICES_PER_CHUNK = 4;

/**
 * A key that has, or had, a slice of its own. In state `isolated`, requests for
 * the key belong to its own slice. In state `returning`, they belong to the
 * home slice again, but only to terms from epoch `homeFrom` on.
 *
 * While a key is isolated, holders release their terms of the home slice below
 * `homeFrom` from the last to the first, so that a holder that does not know of
 * the isolation yet cannot start one of them. A holder releases its terms of
 * the key's own slice only after its own terms of the home slice below
 * `homeFrom`. While a key is returning, a holder releases its terms of the home
 * slice below `homeFrom` only after its terms of the key's own slice.
 */
export interface HotKey {
  readonly key: string;
  /** Slice that the key hashes to. */
  readonly home: number;
  /** Reserved slice that serves only this key. */
  readonly slice: number;
  readonly state: 'isolated' | 'returning';
  /** First wanted epoch of the home slice when this state was recorded. */
  readonly homeFrom: number;
}

/** A chunk with the hot keys whose home slice it contains. */
export interface HotChunk extends Chunk {
  readonly hotKeys: readonly HotKey[];
}

/**
 * Lists the numbers of the slices that a chunk reserves for hot keys.
 *
 * @example
 * hotSlicesOf({...service, slices: 64}, 1); // [68, 69, 70, 71]
 */
export function hotSlicesOf(
  service: Service,
  index: number,
): readonly number[] {
  const first = service.slices + index * HOT_SLICES_PER_CHUNK;
  return Array.from({length: HOT_SLICES_PER_CHUNK}, (_, i) => first + i);
}

/** The slice and the terms that serve a key. */
export interface KeyPlace {
  readonly slice: number;
  /** Lowest epoch of a term of the slice that may serve the key. */
  readonly fromEpoch: number;
}

/**
 * Finds the slice of a key: its own slice while it is isolated, and its home
 * slice otherwise.
 *
 * @example
 * placeOfKey(service, index => chunks[index], 'night-desk').slice;
 */
export function placeOfKey(
  service: Service,
  chunkAt: (index: number) => HotChunk | undefined,
  key: string,
): KeyPlace {
  const home = sliceOfKey(key, service.slices);
  const chunk = chunkAt(chunkOfSlice(service, home));
  const hot = chunk?.hotKeys.find(h => h.key === key);
  if (!hot) return {slice: home, fromEpoch: 0};
  if (hot.state === 'isolated') return {slice: hot.slice, fromEpoch: 0};
  return {slice: home, fromEpoch: hot.homeFrom};
}

/**
 * Returns whether a slice is reserved for hot keys and no key is isolated in
 * it. No instance should own it, but terms of a returning key may not be
 * released yet.
 *
 * @example
 * isUnusedHotSlice(service, chunk, 70);
 */
export function isUnusedHotSlice(
  service: Service,
  chunk: Chunk & Partial<HotChunk>,
  slice: number,
): boolean {
  if (slice < service.slices) return false;
  const hot = chunk.hotKeys?.find(h => h.slice === slice);
  return hot?.state !== 'isolated';
}

/** Returns the check for ended terms of a slice. */
export type SliceTermEndCheck = (slice: number) => TermEndCheck;

/**
 * Gives a key a slice of its own, with the owner and successors of its home
 * slice. The home slice gets higher epochs in the same version, so that an
 * upstream rejects requests for the key that were sent under the earlier epochs
 * once these are released. The key's slice can then be moved like any other.
 *
 * @returns The next version; undefined if the key is isolated or still
 *     returning, no reserved slice is free, or the home slice has no live term
 *     or still has terms to be released.
 *
 * @example
 * isolateKey(service, chunk, 'night-desk', hasEnded);
 */
export function isolateKey(
  service: Service,
  chunk: HotChunk,
  key: string,
  hasEnded: SliceTermEndCheck,
): HotChunk | undefined {
  const home = sliceOfKey(key, service.slices);
  const homeChain = chainOf(chunk, home, hasEnded);
  const ownChain = findFreeChain(service, chunk, hasEnded);
  if (!homeChain?.isSettled || homeChain.live.length === 0) return undefined;
  if (!ownChain || chunk.hotKeys.some(h => h.key === key)) return undefined;
  const leases = leasesOf(homeChain.live);
  const homeRecord = appendTerms(homeChain, leases);
  const own = appendTerms(ownChain, leases);
  const hot: HotKey = {
    key,
    home,
    slice: own.slice,
    state: 'isolated',
    homeFrom: homeRecord.wantedFrom,
  };
  const hotKeys = [...chunk.hotKeys, hot];
  return withRecords({...chunk, hotKeys}, [homeRecord, own]);
}

/**
 * Returns a key to its home slice. The holders of the key's own slice are added
 * to the home slice as terms to be released, so that no wanted term of the home
 * slice starts before they have stopped.
 *
 * @returns The next version; undefined if the key is not isolated, the home
 *     slice has no live term, or one of the two slices still has terms to be
 *     released.
 *
 * @example
 * returnKey(chunk, 'night-desk', hasEnded);
 */
export function returnKey(
  chunk: HotChunk,
  key: string,
  hasEnded: SliceTermEndCheck,
): HotChunk | undefined {
  const hot = chunk.hotKeys.find(h => h.key === key);
  if (hot?.state !== 'isolated') return undefined;
  const home = chainOf(chunk, hot.home, hasEnded);
  const own = chainOf(chunk, hot.slice, hasEnded);
  if (!home?.isSettled || !own?.isSettled) return undefined;
  const owners = leasesOf(home.live);
  const holders = leasesOf(own.live);
  if (owners.length === 0) return undefined;
  const extended = appendTerms(home, [...holders, ...owners]);
  const homeFrom = extended.wantedFrom + holders.length;
  const homeRecord = {...extended, wantedFrom: homeFrom};
  const last = own.record.terms.at(-1)?.epoch ?? 0;
  const retired = {...own.record, wantedFrom: last + 1};
  const returning: HotKey = {...hot, state: 'returning', homeFrom};
  const hotKeys = chunk.hotKeys.map(h => (h === hot ? returning : h));
  return withRecords({...chunk, hotKeys}, [homeRecord, retired]);
}

/**
 * Drops the keys whose return is complete: no live term of the home slice is
 * older than the return.
 *
 * @returns The next version, or undefined if no key can be dropped.
 *
 * @example
 * dropReturned(chunk, hasEnded);
 */
export function dropReturned(
  chunk: HotChunk,
  hasEnded: SliceTermEndCheck,
): HotChunk | undefined {
  const hotKeys = chunk.hotKeys.filter(hot => {
    if (hot.state !== 'returning') return true;
    const live = chainOf(chunk, hot.home, hasEnded)?.live ?? [];
    return live.some(term => term.epoch < hot.homeFrom);
  });
  if (hotKeys.length === chunk.hotKeys.length) return undefined;
  return {...chunk, hotKeys};
}

/** Returns the epoch up to which a holder has released a slice. */
export type ReleasedEpoch = (slice: number) => number;

/**
 * Returns the epoch up to which a holder may release its terms of a slice. If a
 * release now would violate the release order described at `HotKey`, this is
 * the epoch already released.
 *
 * @param released Returns the epoch up to which the holder has released a
 *     slice.
 * @param hasEnded Returns which terms of other leases the holder knows to have
 *     ended.
 *
 * @example
 * releasableEpoch(chunk, 7, lease, slice => released.get(slice) ?? 0, hasEnded);
 */
export function releasableEpoch(
  chunk: HotChunk,
  slice: number,
  lease: LeaseId,
  released: ReleasedEpoch,
  hasEnded: SliceTermEndCheck,
): number {
  const record = recordOf(chunk, slice);
  if (!record) return 0;
  const held = (other: number, below: number) =>
    hasUnreleasedTerm(chunk, other, lease, released(other), below);
  const mustWait = chunk.hotKeys.some(hot => {
    if (hot.state === 'returning') {
      return hot.home === slice && held(hot.slice, Infinity);
    }
    if (hot.slice === slice) return held(hot.home, hot.homeFrom);
    return hot.home === slice && hasLaterTerm(chunk, hot, lease, hasEnded);
  });
  return mustWait ? released(slice) : record.wantedFrom - 1;
}

/**
 * Returns whether another lease may still hold a term of the home slice that
 * dates from before the isolation and follows the first term of this lease.
 */
function hasLaterTerm(
  chunk: HotChunk,
  hot: HotKey,
  lease: LeaseId,
  hasEnded: SliceTermEndCheck,
): boolean {
  const record = recordOf(chunk, hot.home);
  const earlier = record?.terms.filter(t => t.epoch < hot.homeFrom) ?? [];
  const first = earlier.findIndex(term => sameLease(term.lease, lease));
  if (first < 0) return false;
  return earlier
    .slice(first)
    .some(t => !sameLease(t.lease, lease) && !hasEnded(hot.home)(t));
}

/** Returns whether a lease has an unreleased term of a slice below an epoch. */
function hasUnreleasedTerm(
  chunk: HotChunk,
  slice: number,
  lease: LeaseId,
  released: number,
  below: number,
): boolean {
  const terms = recordOf(chunk, slice)?.terms ?? [];
  return terms.some(
    term =>
      sameLease(term.lease, lease) &&
      term.epoch > released &&
      term.epoch < below,
  );
}

function recordOf(chunk: Chunk, slice: number): SliceRecord | undefined {
  return chunk.slices.find(record => record.slice === slice);
}

/** Reads the chain of a slice; undefined if the chunk does not list it. */
function chainOf(
  chunk: Chunk,
  slice: number,
  hasEnded: SliceTermEndCheck,
): Chain | undefined {
  const record = recordOf(chunk, slice);
  return record && readChain(record, hasEnded(slice));
}

/** Finds a reserved slice without a key and without live terms. */
function findFreeChain(
  service: Service,
  chunk: HotChunk,
  hasEnded: SliceTermEndCheck,
): Chain | undefined {
  const used = chunk.hotKeys.map(h => h.slice);
  const free = hotSlicesOf(service, chunk.index).filter(s => !used.includes(s));
  const chains = free.map(slice => {
    const unused = {slice, wantedFrom: 1, terms: []};
    return readChain(recordOf(chunk, slice) ?? unused, hasEnded(slice));
  });
  return chains.find(chain => chain.live.length === 0);
}

/** Returns a chunk with records added or replaced, in order of slice. */
function withRecords(
  chunk: HotChunk,
  records: readonly SliceRecord[],
): HotChunk {
  const kept = chunk.slices.filter(
    old => !records.some(record => record.slice === old.slice),
  );
  const slices = [...kept, ...records];
  return {...chunk, slices: slices.toSorted((a, b) => a.slice - b.slice)};
}
