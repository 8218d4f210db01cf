import {
  sameLease,
  type LeaseId,
  type SliceRecord,
  type Term,
} from '../model/index.js';

/**
 * Number of live terms from which an append must wait for a release, unless it
 * replaces a lost owner.
 */
export const TERM_LIMIT = 12;

/** Returns whether a term has ended, so that it can never serve again. */
export type TermEndCheck = (term: Term) => boolean;

/** A slice record with its terms classified by whether they have ended. */
export interface Chain {
  readonly record: SliceRecord;
  /** Terms that may still serve, in ascending order of epoch. */
  readonly live: readonly Term[];
  /** Live terms from epoch `wantedFrom` on: the owner and its successors. */
  readonly wanted: readonly Term[];
  /** Whether all live terms are wanted, so that none has to be released. */
  readonly isSettled: boolean;
}

/**
 * Classifies the terms of a slice record.
 *
 * @example
 * readChain(record, term => ended(term.lease)).isSettled;
 */
export function readChain(record: SliceRecord, hasEnded: TermEndCheck): Chain {
  const live = keepLastOfLease(record.terms.filter(term => !hasEnded(term)));
  const wanted = live.filter(term => term.epoch >= record.wantedFrom);
  return {record, live, wanted, isSettled: wanted.length === live.length};
}

/**
 * Keeps only the last of consecutive terms of the same lease. The earlier ones
 * need not be recorded, because later terms wait for the lease in any case.
 */
function keepLastOfLease(terms: readonly Term[]): readonly Term[] {
  return terms.filter((term, i) => {
    const next = terms[i + 1];
    return !next || !sameLease(next.lease, term.lease);
  });
}

/**
 * Lists the distinct leases of terms, in order of first appearance.
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
 * Drops the terms that have ended. The last term is kept even if it has ended,
 * so that the record retains the highest epoch ever used.
 *
 * @returns The same record object when nothing can be dropped.
 *
 * @example
 * dropEndedTerms(readChain(record, hasEnded)).terms;
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
 * Drops the terms that have ended and appends one term for each lease. The
 * appended terms become the wanted ones.
 *
 * @throws {RangeError} when there is no lease to append.
 *
 * @example
 * appendTerms(chain, [newOwner, successor]).wantedFrom; // the new owner's epoch
 */
export function appendTerms(
  chain: Chain,
  leases: readonly LeaseId[],
): SliceRecord {
  if (leases.length === 0)
    throw new RangeError('expected at least one lease to append, got none');
  const {record, live} = chain;
  const first = highestEpoch(record) + 1;
  const added = leases.map((lease, i) => ({lease, epoch: first + i}));
  return {
    slice: record.slice,
    wantedFrom: first,
    terms: [...live, ...added],
  };
}

/** Returns the highest epoch that was used according to a record. */
function highestEpoch(record: SliceRecord): number {
  const last = record.terms.at(-1)?.epoch ?? 0;
  return Math.max(last, record.wantedFrom - 1, 0);
}
