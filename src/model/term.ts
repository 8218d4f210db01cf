import type {LeaseId} from './member.js';

/**
 * The right of one lease to own a slice. Epochs grow within a slice and are
 * used as fencing tokens.
 */
export interface Term {
  readonly lease: LeaseId;
  readonly epoch: number;
}

/**
 * The recorded terms of one slice, by ascending epoch. A term may begin only
 * when every term before it that belongs to another lease has ended.
 */
export interface SliceRecord {
  readonly slice: number;
  /** Terms with a lower epoch are to be released by their holders. */
  readonly wantedFrom: number;
  readonly terms: readonly Term[];
}

/** A fixed part of the slices of one service, kept in one platform object. */
export interface Chunk {
  readonly service: string;
  readonly index: number;
  readonly slices: readonly SliceRecord[];
}

/** Names a slice within a service. */
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
