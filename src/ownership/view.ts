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
  readonly endedLeases: ReadonlySet<string>;
  /** Highest released epoch, by slice and lease. */
  readonly releasedEpochs: ReadonlyMap<string, number>;
  /** The term last heard to have begun, by slice. */
  readonly begunTerms: ReadonlyMap<string, Term>;
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
    endedLeases: new Set(),
    releasedEpochs: new Map(),
    begunTerms: new Map(),
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
  const begunTerms = new Map(view.begunTerms);
  for (const record of chunk.slices) {
    const id = formatSlice({service, slice: record.slice});
    records.set(id, record);
    const term = begunTerms.get(id);
    if (term && term.epoch <= (record.terms[0]?.epoch ?? 0))
      begunTerms.delete(id);
  }
  return {...view, chunks, records, begunTerms: begunTerms};
}

/**
 * Adds leases that are proved to have ended.
 *
 * @example
 * const view = withEnded(before, [{instance: 'a', generation: 3}]);
 */
export function withEndedLeases(view: View, leases: readonly LeaseId[]): View {
  const added = leases.filter(
    lease => !view.endedLeases.has(formatLease(lease)),
  );
  if (added.length === 0) return view;
  const endedLeases = new Set(view.endedLeases);
  for (const lease of added) endedLeases.add(formatLease(lease));
  return {...view, endedLeases: endedLeases};
}

/**
 * Adds what an instance has said to have begun.
 *
 * @example
 * const view = withBegan(before, message);
 */
export function withBegunTerms(view: View, message: Began): View {
  const begunTerms = new Map(view.begunTerms);
  for (const entry of message.slices) {
    const id = formatSlice(entry);
    const known = begunTerms.get(id);
    if (known && known.epoch >= entry.epoch) continue;
    begunTerms.set(id, {lease: message.lease, epoch: entry.epoch});
  }
  return withEndedLeases({...view, begunTerms: begunTerms}, message.ended);
}

/**
 * Adds what an instance has said to have released.
 *
 * @example
 * const view = withReleased(before, message);
 */
export function withReleasedEpochs(view: View, message: Released): View {
  const releasedEpochs = new Map(view.releasedEpochs);
  for (const entry of message.slices) {
    const id = releaseKey(entry, message.lease);
    releasedEpochs.set(id, Math.max(releasedEpochs.get(id) ?? 0, entry.epoch));
  }
  return {...view, releasedEpochs: releasedEpochs};
}

/**
 * Tells whether a lease can never be in force again: a later generation of its
 * instance is recorded, it is recorded as ended, or it was proved ended.
 *
 * @example
 * leaseEnded(withEnded(view, [lease]), lease); // true
 */
export function hasLeaseEnded(view: View, lease: LeaseId): boolean {
  const member = view.members.get(lease.instance);
  if (member && member.generation > lease.generation) return true;
  if (member?.generation === lease.generation && member.state === 'ended') {
    return true;
  }
  return view.endedLeases.has(formatLease(lease));
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
  return view.releasedEpochs.get(releaseKey({service, slice}, lease)) ?? 0;
}

/**
 * Tells whether a term can never be in force again.
 *
 * @example
 * const live = record.terms.filter(t => !termEnded(view, 'rota-display', 7, t));
 */
export function hasTermEnded(
  view: View,
  service: string,
  slice: number,
  term: Term,
): boolean {
  if (hasLeaseEnded(view, term.lease)) return true;
  return releasedEpoch(view, service, slice, term.lease) >= term.epoch;
}

/**
 * Forgets the releases of slices whose records no longer need them.
 *
 * @example
 * const view = pruneReleases(withChunk(before, chunk));
 */
export function pruneReleasedEpochs(view: View): View {
  const releasedEpochs = new Map(view.releasedEpochs);
  for (const [key, epoch] of view.releasedEpochs) {
    const [id, lease] = key.split('|');
    const terms = view.records.get(id)?.terms ?? [];
    const isNeeded = terms.some(
      term => formatLease(term.lease) === lease && term.epoch <= epoch,
    );
    if (!isNeeded) releasedEpochs.delete(key);
  }
  if (releasedEpochs.size === view.releasedEpochs.size) return view;
  return {...view, releasedEpochs: releasedEpochs};
}

function releaseKey(
  entry: Pick<SliceEpoch, 'service' | 'slice'>,
  lease: LeaseId,
): string {
  return `${formatSlice(entry)}|${formatLease(lease)}`;
}
