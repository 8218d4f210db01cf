import {formatLease, formatSlice} from '../model/index.js';
import type {
  Chunk,
  LeaseId,
  Member,
  SliceRecord,
  Term,
} from '../model/index.js';
import type {Began, Released, SliceEpoch} from './messages.js';

/** What a daemon knows of the fleet's registrations, records and proofs. */
export interface View {
  readonly members: ReadonlyMap<string, Member>;
  /** Chunks by service and index. */
  readonly chunks: ReadonlyMap<string, Chunk>;
  /** Slice records by service and slice, an index of the chunks. */
  readonly records: ReadonlyMap<string, SliceRecord>;
  /** Leases that were proved ended but may not be recorded so yet. */
  readonly ended: ReadonlySet<string>;
  /** Highest released epoch, by slice and lease. */
  readonly released: ReadonlyMap<string, number>;
  /** The term last heard to have begun, by slice. */
  readonly began: ReadonlyMap<string, Term>;
}

/**
 * Returns a view that knows nothing.
 *
 * @example
 * withMember(emptyView(), member).members.size; // 1
 */
export function emptyView(): View {
  return {
    members: new Map(),
    chunks: new Map(),
    records: new Map(),
    ended: new Set(),
    released: new Map(),
    began: new Map(),
  };
}

/**
 * Adds a registration record, unless one of a later generation is known.
 *
 * @example
 * const view = withMember(before, member);
 */
export function withMember(view: View, member: Member): View {
  const known = view.members.get(member.instance);
  if (known && known.generation > member.generation) return view;
  const members = new Map(view.members).set(member.instance, member);
  return {...view, members};
}

/**
 * Replaces a chunk and its slice records.
 *
 * @example
 * const view = withChunk(before, {service: 'rota-display', index: 0, slices});
 */
export function withChunk(view: View, chunk: Chunk): View {
  const {service, index} = chunk;
  const chunks = new Map(view.chunks).set(`${service}/${index}`, chunk);
  const records = new Map(view.records);
  const began = new Map(view.began);
  for (const record of chunk.slices) {
    const id = formatSlice({service, slice: record.slice});
    records.set(id, record);
    const term = began.get(id);
    if (term && term.epoch <= (record.terms[0]?.epoch ?? 0)) began.delete(id);
  }
  return {...view, chunks, records, began};
}

/**
 * Adds leases that are proved to have ended.
 *
 * @example
 * const view = withEnded(before, [{instance: 'a', generation: 3}]);
 */
export function withEnded(view: View, leases: readonly LeaseId[]): View {
  const fresh = leases.filter(lease => !view.ended.has(formatLease(lease)));
  if (fresh.length === 0) return view;
  const ended = new Set(view.ended);
  for (const lease of fresh) ended.add(formatLease(lease));
  return {...view, ended};
}

/**
 * Adds what an instance has said to have begun.
 *
 * @example
 * const view = withBegan(before, message);
 */
export function withBegan(view: View, message: Began): View {
  const began = new Map(view.began);
  for (const entry of message.slices) {
    const id = formatSlice(entry);
    const known = began.get(id);
    if (known && known.epoch >= entry.epoch) continue;
    began.set(id, {lease: message.lease, epoch: entry.epoch});
  }
  return withEnded({...view, began}, message.ended);
}

/**
 * Adds what an instance has said to have released.
 *
 * @example
 * const view = withReleased(before, message);
 */
export function withReleased(view: View, message: Released): View {
  const released = new Map(view.released);
  for (const entry of message.slices) {
    const id = releaseKey(entry, message.lease);
    released.set(id, Math.max(released.get(id) ?? 0, entry.epoch));
  }
  return {...view, released};
}

/**
 * Tells whether a lease can never be in force again: a later generation of its
 * instance is recorded, it is recorded as ended, or it was proved ended.
 *
 * @example
 * leaseEnded(withEnded(view, [lease]), lease); // true
 */
export function leaseEnded(view: View, lease: LeaseId): boolean {
  const member = view.members.get(lease.instance);
  if (member && member.generation > lease.generation) return true;
  if (member?.generation === lease.generation && member.state === 'ended') {
    return true;
  }
  return view.ended.has(formatLease(lease));
}

/**
 * Returns the highest epoch of a slice that a lease has released, or 0.
 *
 * @example
 * releasedEpoch(view, 'rota-display', 7, lease) >= 9;
 */
export function releasedEpoch(
  view: View,
  service: string,
  slice: number,
  lease: LeaseId,
): number {
  return view.released.get(releaseKey({service, slice}, lease)) ?? 0;
}

/**
 * Tells whether a term can never be in force again.
 *
 * @example
 * const live = record.terms.filter(t => !termEnded(view, 'rota-display', 7, t));
 */
export function termEnded(
  view: View,
  service: string,
  slice: number,
  term: Term,
): boolean {
  if (leaseEnded(view, term.lease)) return true;
  return releasedEpoch(view, service, slice, term.lease) >= term.epoch;
}

/**
 * Forgets the releases of slices whose records no longer need them.
 *
 * @example
 * const view = pruneReleases(withChunk(before, chunk));
 */
export function pruneReleases(view: View): View {
  const released = new Map(view.released);
  for (const [key, epoch] of view.released) {
    const [id, lease] = key.split('|');
    const terms = view.records.get(id)?.terms ?? [];
    const needed = terms.some(
      term => formatLease(term.lease) === lease && term.epoch <= epoch,
    );
    if (!needed) released.delete(key);
  }
  if (released.size === view.released.size) return view;
  return {...view, released};
}

function releaseKey(
  entry: Pick<SliceEpoch, 'service' | 'slice'>,
  lease: LeaseId,
): string {
  return `${formatSlice(entry)}|${formatLease(lease)}`;
}
