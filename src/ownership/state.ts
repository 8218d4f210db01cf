import type {
  Address,
  Chunk,
  Fencing,
  LeaseId,
  Member,
  SliceRecord,
} from '../model/index.js';
import type {GrantState, GrantRequest} from './grant.js';
import type {Holder} from './holder.js';
import type {Envelope, Message, SliceEpoch} from './messages.js';
import type {LeaseSettings} from './settings.js';
import type {Takeovers} from './takeover.js';
import type {View} from './view.js';
import type {WitnessedLeases} from './witness.js';

/** Identity and addresses of an instance, from its settings. */
export interface InstanceIdentity {
  readonly instance: string;
  readonly process: string;
  readonly site: string;
  readonly region: string;
  readonly domain: string;
  readonly callers: Address;
  readonly peers: Address;
  readonly control: Address;
}

/** The upstream of the instance, as announced and observed. */
export interface UpstreamState {
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly fencing: Fencing;
  readonly isHealthy: boolean;
  /**
   * The upstream has announced that it is shutting down, so its slices are
   * released to successors.
   */
  readonly isLeaving?: boolean;
}

/** Ownership state of a slice at this instance. */
export interface Holding extends SliceEpoch {
  /**
   * State in the term chart. `epoch` is valid while granting, serving or
   * draining.
   */
  readonly state: string;
  /** Epoch up to which the lease has released its terms; 0 if none. */
  readonly releasedUpTo: number;
  /** Epoch up to which a draining holding will release its terms. */
  readonly releaseTo: number;
  /** Whether a draining holding has requests in flight. */
  readonly isBusy: boolean;
  /** When the release was last announced, in milliseconds. */
  readonly announcedAt: number;
}

/** A slice record that includes this instance, and the index of its chunk. */
export interface OwnRecord {
  readonly chunk: number;
  readonly record: SliceRecord;
}

/** The ownership state of a daemon. */
export interface State {
  readonly self: InstanceIdentity;
  readonly settings: LeaseSettings;
  readonly upstream?: UpstreamState;
  /**
   * Whether the daemon is shutting down or was requested to release its slices.
   */
  readonly isDraining: boolean;
  readonly isPlatformReachable: boolean;
  readonly view: View;
  readonly holder: Holder;
  /** Registration record most recently stored by this process. */
  readonly storedRecord?: Member;
  /**
   * Whether a write of the registration record is in progress; there is one at
   * a time.
   */
  readonly isStoring: boolean;
  /** Whether an earlier write of the record may still take effect. */
  readonly hasUncertainWrite: boolean;
  readonly witnessedLeases: WitnessedLeases;
  readonly takeovers: Takeovers;
  /**
   * Slice records that include this instance, by slice; an index of the view.
   */
  readonly ownRecords: ReadonlyMap<string, OwnRecord>;
  readonly holdings: ReadonlyMap<string, Holding>;
  readonly grant: GrantState;
  /** When renewals were last sent. */
  readonly renewalsSentAt: number;
  /** When the witness set was last reviewed. */
  readonly witnessesReviewedAt: number;
  /** When takeovers of blocking owners were last started. */
  readonly takeoversAttemptedAt: number;
  /** When a registration was last sent to the platform. */
  readonly registrationSentAt: number;
  /** When the process started, by its own clock. */
  readonly startedAt: number;
  /**
   * Random number from 0 to 1 that spreads the registrations of processes that
   * start at the same time.
   */
  readonly startJitter: number;
  /**
   * Registration attempts since a lease was last in force long enough for a
   * witness review.
   */
  readonly registrationAttempts: number;
}

/**
 * Reason for which a registration record was not stored: another writer changed
 * it, the write certainly had no effect, or the write may have had an effect.
 */
export type StoreFailure = 'conflict' | 'unavailable' | 'unknown';

/** Inputs to the ownership state of a daemon. */
export type Input =
  | {readonly kind: 'tick'; readonly busySlices: ReadonlySet<string>}
  | {readonly kind: 'message'; readonly envelope: Envelope}
  | {readonly kind: 'member'; readonly member: Member}
  | {readonly kind: 'chunk'; readonly chunk: Chunk}
  | {readonly kind: 'upstream'; readonly upstream: UpstreamState | undefined}
  | {readonly kind: 'stored'; readonly member: Member}
  | {readonly kind: 'storeFailed'; readonly result: StoreFailure}
  | {readonly kind: 'read'; readonly lease: LeaseId; readonly member: Member}
  | {
      readonly kind: 'granted';
      readonly sequence: number;
      readonly clock: number;
    }
  | {readonly kind: 'grantFailed'; readonly sequence: number}
  | {readonly kind: 'platform'; readonly reachable: boolean}
  | {readonly kind: 'drain'};

/** Effects to be run as the result of a decision. */
export type Effect =
  | {readonly kind: 'send'; readonly to: Address; readonly message: Message}
  | {readonly kind: 'broadcast'; readonly message: Message}
  /** Store the registration record, conditionally on the known version. */
  | {readonly kind: 'store'; readonly member: Member}
  /** Read a registration record from the platform, bypassing the mirror. */
  | {readonly kind: 'read'; readonly lease: LeaseId}
  /** Record that a lease is proven to have ended. */
  | {readonly kind: 'markEnded'; readonly lease: LeaseId}
  | {readonly kind: 'grant'; readonly request: GrantRequest}
  /** Log that slices began or were released, and notify the request path. */
  | {readonly kind: 'began'; readonly slices: readonly SliceEpoch[]}
  | {readonly kind: 'released'; readonly slices: readonly SliceEpoch[]}
  | {readonly kind: 'replaced'}
  | {readonly kind: 'leaseEnded'; readonly lease: LeaseId};

/** A new state and the effects to run. */
export interface Step {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A decision that depends on the state and the time only. */
export type Decision = (state: State, now: number) => Step;

/**
 * Applies decisions in order and collects their effects.
 *
 * @example
 * const step = applyAll(state, now, [renewLease, replaceWitnesses]);
 */
export function applyAll(
  state: State,
  now: number,
  decisions: readonly Decision[],
): Step {
  const effects: Effect[] = [];
  let current = state;
  for (const decide of decisions) {
    const step = decide(current, now);
    current = step.state;
    effects.push(...step.effects);
  }
  return {state: current, effects};
}

/**
 * Returns a step without effects.
 *
 * @example
 * if (!due) return unchanged(state);
 */
export function unchanged(state: State): Step {
  return {state, effects: []};
}
