import type {LeaseId, WitnessSet} from '../model/index.js';

/** A slice and one of its epochs. */
export interface SliceEpoch {
  readonly service: string;
  readonly slice: number;
  readonly epoch: number;
}

/**
 * Requests that a witness acknowledge the lease for another duration. Sent by
 * the holder.
 */
export interface Renew {
  readonly kind: 'renew';
  readonly lease: LeaseId;
  /**
   * Sending time by the holder's clock, in milliseconds; returned in the
   * answer.
   */
  readonly sentAt: number;
  /**
   * Lowest number of the holder's witness sets that need the acknowledgement.
   */
  readonly number: number;
}

/** Acknowledges a renewal. Sent by a witness. */
export interface Renewed {
  readonly kind: 'renewed';
  readonly lease: LeaseId;
  readonly sentAt: number;
  /**
   * Set number of the renewal; the acknowledgement is valid for this set and
   * later ones.
   */
  readonly number: number;
}

/**
 * Refuses a request, because the witness has sealed the lease for the set of
 * this number.
 */
export interface Refused {
  readonly kind: 'refused';
  readonly lease: LeaseId;
  readonly number: number;
}

/**
 * Informs a witness of the previous set which set is in force now. Sent by the
 * holder.
 */
export interface Supersede {
  readonly kind: 'supersede';
  readonly lease: LeaseId;
  readonly next: WitnessSet;
  /** Number of the set that the next one replaces. */
  readonly from: number;
}

/** Confirms that a witness has recorded the newer set. */
export interface Superseded {
  readonly kind: 'superseded';
  readonly lease: LeaseId;
  readonly number: number;
}

/**
 * Notifies successors and coordinators that the acknowledgement of a witness
 * has lapsed.
 */
export interface Lapsed {
  readonly kind: 'lapsed';
  readonly lease: LeaseId;
}

/**
 * Requests that a witness never again renew the lease for the set of this
 * number or an earlier one. Sent by a successor.
 */
export interface Seal {
  readonly kind: 'seal';
  readonly lease: LeaseId;
  /** Number of the newest witness set that the successor knows. */
  readonly number: number;
}

/** Answers a request to seal a lease. Sent by a witness. */
export interface SealAnswer {
  readonly kind: 'sealAnswer';
  readonly lease: LeaseId;
  /**
   * Set number up to which the witness has sealed the lease; 0 if it has not.
   */
  readonly sealed: number;
  /** Number of the newest set that the witness has recorded; 0 if none. */
  readonly noted: number;
  /** The set that has replaced the one that the successor knows. */
  readonly newer?: WitnessSet;
}

/**
 * Announces that an instance has begun terms, with the ended leases that
 * allowed it to.
 */
export interface Began {
  readonly kind: 'began';
  readonly lease: LeaseId;
  readonly slices: readonly SliceEpoch[];
  /** Leases that are proven to have ended. */
  readonly ended: readonly LeaseId[];
}

/**
 * Announces that a lease will never again serve these slices up to these
 * epochs.
 */
export interface Released {
  readonly kind: 'released';
  readonly lease: LeaseId;
  readonly slices: readonly SliceEpoch[];
}

/** Load of a slice at its owner. */
export interface SliceUse {
  readonly slice: number;
  /** Mean number of slots occupied by the slice's requests. */
  readonly load: number;
}

/**
 * Reports the load of slices to the balancer of the service. Sent by their
 * owner.
 */
export interface Load {
  readonly kind: 'load';
  readonly service: string;
  readonly slices: readonly SliceUse[];
}

/**
 * Announces that no request that began under an earlier configuration is in
 * flight at the sender.
 */
export interface Settled {
  readonly kind: 'settled';
  /** Version of the configuration in force at the sender. */
  readonly version: number;
}

/** Messages between daemons. */
export type Message =
  | Renew
  | Renewed
  | Refused
  | Supersede
  | Superseded
  | Lapsed
  | Seal
  | SealAnswer
  | Began
  | Released
  | Load
  | Settled;

/** A message and its sender. */
export interface Envelope {
  readonly instance: string;
  /** Random identifier that the sender process generated at its start. */
  readonly process: string;
  readonly message: Message;
}
