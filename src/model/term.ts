import type {LeaseId} from './member.js';

/**
 * The right of a lease to own a slice under an epoch. Epochs increase within a
 * slice and serve as fencing tokens.
 */
export interface Term {
  readonly lease: LeaseId;
  readonly epoch: number;
}

/**
 * The recorded terms of a slice, by ascending epoch. A term may begin only when
 * every earlier term of another lease has ended.
 */
export interface SliceRecord {
  readonly slice: number;
  /** Holders release their terms with an epoch below this one. */
  readonly wantedFrom: number;
  readonly terms: readonly Term[];
}

/** A fixed subset of the slices of a service, stored in one platform object. */
export interface Chunk {
  readonly service: string;
  readonly index: number;
  readonly slices: readonly SliceRecord[];
}

/** Identifies a slice of a service. */
export interface SliceId {
  readonly service: string;
  readonly slice: number;
}

/**
 * Formats a slice as `service/slice`, usable as a map key.
 *
 * @example
 * formatSlice({service: 'rota-display', slice: 7}); // 'rota-display/7'
 */
export function formatSlice(id: SliceId): string {
  return `${id.service}/${id.slice}`;
}
