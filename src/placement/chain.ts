import {
  sameLease,
  type LeaseId,
  type SliceRecord,
  type Term,
} from '../model/index.js';

/** Terms that a slice may list before an append has to wait, except for a loss. */
export const TERM_LIMIT = 12;

/** Tells whether a term can never serve again. */
export type TermEndCheck = (term: Term) => boolean;

/** A slice record seen through what is known of its terms. */
export interface Chain {
  readonly record: SliceRecord;
  /** Terms that may still serve, by ascending epoch. */
  readonly live: readonly Term[];
  /** Live terms from the first wanted epoch on: the owner and its successors. */
  readonly wanted: readonly Term[];
  /** Whether no live term is still to be released. */
  readonly isSettled: boolean;
}

/**
 * Reads a slice record.
 *
 * @example
 * readChain(record, term => ended(term.lease)).settled;
 */
export function readChain(record: SliceRecord, hasEnded: TermEndCheck): Chain {
  const live = keepLastOfLease(record.terms.filter(term => !hasEnded(term)));
  const wanted = live.filter(term => term.epoch >= record.wantedFrom);
  return {record, live, wanted, isSettled: wanted.length === live.length};
}

/**
 * Keeps the last of neighbouring terms of the same lease. The earlier ones need
 * no place in the record: whoever comes later waits for the lease all the same.
 */
function keepLastOfLease(terms: readonly Term[]): readonly Term[] {
  return terms.filter((term, i) => {
    const next = terms[i + 1];
    return !next || !sameLease(next.lease, term.lease);
  });
}

/**
 * Lists the leases of some terms without repeats, in order.
 *
 * @example
 * leasesOf(chain.wanted)[0]; // the owner's lease
 */
export function leasesOf(terms: readonly Term[]): readonly LeaseId[] {
  const leases: LeaseId[] = [];
  for (const {lease} of terms) {
    if (!leases.some(known => sameLease(known, lease))) leases.push(lease);
  }
  return leases;
}

/**
 * Drops the terms that are over. The last term stays, so that the record keeps
 * the highest epoch ever used.
 *
 * @returns The same record when nothing can be dropped.
 *
 * @example
 * trim(readChain(record, isOver)).terms;
 */
export function dropEndedTerms(chain: Chain): SliceRecord {
  const {record, live} = chain;
  const last = record.terms.at(-1);
  const includesLast = last === undefined || live.at(-1) === last;
  const terms = includesLast ? live : [...live, last];
  if (terms.length === record.terms.length) return record;
  return {...record, terms};
}

/**
 * Drops the terms that are over and appends one term for each lease. The
 * appended terms become the wanted ones.
 *
 * @throws {RangeError} when there is no lease to append.
 *
 * @example
 * append(chain, [newOwner, successor]).wantedFrom; // the new owner's epoch
 */
export function appendTerms(
  chain: Chain,
  leases: readonly LeaseId[],
): SliceRecord {
  if (leases.length === 0) throw new RangeError('no lease to append');
  const {record, live} = chain;
  const first = highestEpoch(record) + 1;
  const added = leases.map((lease, i) => ({lease, epoch: first + i}));
  return {
    slice: record.slice,
    wantedFrom: first,
    terms: [...live, ...added],
  };
}

/** Returns the highest epoch that a record shows to have been used. */
function highestEpoch(record: SliceRecord): number {
  const last = record.terms.at(-1)?.epoch ?? 0;
  return Math.max(last, record.wantedFrom - 1, 0);
}
