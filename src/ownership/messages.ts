import type {LeaseId, WitnessSet} from '../model/index.js';

/** A slice together with an epoch of it. */
export interface SliceEpoch {
  readonly service: string;
  readonly slice: number;
  readonly epoch: number;
}

/** A holder asks a witness to observe its lease for another duration. */
export interface Renew {
  readonly kind: 'renew';
  readonly lease: LeaseId;
  /** Time of sending by the holder's clock, in milliseconds; echoed. */
  readonly sentAt: number;
  /** Lowest number of the holder's sets that need this witness's promise. */
  readonly number: number;
}

/** A witness has renewed its promise. */
export interface Renewed {
  readonly kind: 'renewed';
  readonly lease: LeaseId;
  readonly sentAt: number;
  /** Number of the renewal; the promise counts for this set and later ones. */
  readonly number: number;
}

/** A witness has sealed the lease for the set of this number. */
export interface Refused {
  readonly kind: 'refused';
  readonly lease: LeaseId;
  readonly number: number;
}

/** A holder tells a witness of its old set which set is in force now. */
export interface Supersede {
  readonly kind: 'supersede';
  readonly lease: LeaseId;
  readonly next: WitnessSet;
  /** Number of the set that the next one replaces. */
  readonly from: number;
}

/** A witness has noted that a newer set is in force. */
export interface Superseded {
  readonly kind: 'superseded';
  readonly lease: LeaseId;
  readonly number: number;
}

/** A witness tells a standing successor that a promise has lapsed. */
export interface Lapsed {
  readonly kind: 'lapsed';
  readonly lease: LeaseId;
}

/**
 * A successor asks a witness never to renew a lease again for the set of this
 * number or an earlier one.
 */
export interface Seal {
  readonly kind: 'seal';
  readonly lease: LeaseId;
  /** Number of the witness set that the successor knows. */
  readonly number: number;
}

/** A witness's answer to a request to seal. */
export interface SealAnswer {
  readonly kind: 'sealAnswer';
  readonly lease: LeaseId;
  /** Number up to which the witness has sealed the lease; 0 if it has not. */
  readonly sealed: number;
  /** Number of the newest set that the witness has noted; 0 if none. */
  readonly noted: number;
  /** The set that has replaced the one that the successor knows. */
  readonly newer?: WitnessSet;
}

/** An instance has begun terms, and how it knows that earlier ones ended. */
export interface Began {
  readonly kind: 'began';
  readonly lease: LeaseId;
  readonly slices: readonly SliceEpoch[];
  /** Leases that are proved to have ended. */
  readonly ended: readonly LeaseId[];
}

/** An instance will never again serve these slices up to these epochs. */
export interface Released {
  readonly kind: 'released';
  readonly lease: LeaseId;
  readonly slices: readonly SliceEpoch[];
}

/** Load of one slice at its owner. */
export interface SliceUse {
  readonly slice: number;
  /** Mean number of slots that the slice's requests occupied. */
  readonly load: number;
}

/** An owner reports the load of its slices to the balancer of the service. */
export interface Load {
  readonly kind: 'load';
  readonly service: string;
  readonly slices: readonly SliceUse[];
}

/**
 * No request that began under an earlier configuration is in flight at the
 * sender any more.
 */
export interface Settled {
  readonly kind: 'settled';
  /** Version of the configuration in force at the sender. */
  readonly version: number;
}

/** What daemons tell each other. */
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

/** A message together with who sent it. */
export interface Envelope {
  readonly instance: string;
  /** Random identifier of the start of the sender's process. */
  readonly process: string;
  readonly message: Message;
}
