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

/** What a daemon is, from its settings. */
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

/** The upstream beside the daemon, as announced and observed. */
export interface UpstreamState {
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly fencing: Fencing;
  readonly isHealthy: boolean;
  /** It says that it is about to end; what it holds goes to successors. */
  readonly isLeaving?: boolean;
}

/** The part of this daemon in one slice. */
export interface Holding extends SliceEpoch {
  /** State of the term chart; `epoch` counts while granting, serving, draining. */
  readonly state: string;
  /** The lease has released all its terms up to this epoch. */
  readonly releasedUpTo: number;
  /** Epoch up to which a draining holding will release. */
  readonly releaseTo: number;
  /** A draining holding still has requests in flight. */
  readonly isBusy: boolean;
  /** When the release was last told, in milliseconds. */
  readonly announcedAt: number;
}

/** A slice record that names this instance, and the chunk that holds it. */
export interface OwnRecord {
  readonly chunk: number;
  readonly record: SliceRecord;
}

/** The ownership state of a daemon. */
export interface State {
  readonly self: InstanceIdentity;
  readonly settings: LeaseSettings;
  readonly upstream?: UpstreamState;
  /** The daemon is shutting down or is asked to give its slices away. */
  readonly isDraining: boolean;
  readonly isPlatformReachable: boolean;
  readonly view: View;
  readonly holder: Holder;
  /** The registration record that this process last stored. */
  readonly storedRecord?: Member;
  /** A registration record is being written; there is one write at a time. */
  readonly isStoring: boolean;
  /** An earlier write of the record may still take effect. */
  readonly hasUncertainWrite: boolean;
  readonly witnessedLeases: WitnessedLeases;
  readonly takeovers: Takeovers;
  /** Records that name this instance, by slice: an index of the view. */
  readonly ownRecords: ReadonlyMap<string, OwnRecord>;
  readonly holdings: ReadonlyMap<string, Holding>;
  readonly grant: GrantState;
  readonly renewalsSentAt: number;
  readonly witnessesReviewedAt: number;
  readonly ownersProbedAt: number;
  readonly registrationSentAt: number;
  /** When the process started, by its clock. */
  readonly startedAt: number;
  /** Place of this process among others that start at once, from 0 to 1. */
  readonly startJitter: number;
  /** Registrations since the lease was last in force for long. */
  readonly registrationAttempts: number;
}

/**
 * Why a registration record was not stored: another writer changed it, the
 * write had no effect, or it may have had one.
 */
export type StoreFailure = 'conflict' | 'unavailable' | 'unknown';

/** What happens to the ownership state of a daemon. */
export type Input =
  | {readonly kind: 'tick'; readonly busySlices: ReadonlySet<string>}
  | {readonly kind: 'message'; readonly envelope: Envelope}
  | {readonly kind: 'member'; readonly member: Member}
  | {readonly kind: 'chunk'; readonly chunk: Chunk}
  | {readonly kind: 'upstream'; readonly upstream: UpstreamState | undefined}
  | {readonly kind: 'stored'; readonly member: Member}
  | {readonly kind: 'unstored'; readonly result: StoreFailure}
  | {readonly kind: 'read'; readonly lease: LeaseId; readonly member: Member}
  | {
      readonly kind: 'granted';
      readonly sequence: number;
      readonly clock: number;
    }
  | {readonly kind: 'ungranted'; readonly sequence: number}
  | {readonly kind: 'platform'; readonly reachable: boolean}
  | {readonly kind: 'drain'};

/** What a daemon does as the result of a decision. */
export type Effect =
  | {readonly kind: 'send'; readonly to: Address; readonly message: Message}
  | {readonly kind: 'broadcast'; readonly message: Message}
  /** Store the registration record, conditionally on the known version. */
  | {readonly kind: 'store'; readonly member: Member}
  /** Read a registration record afresh from the platform. */
  | {readonly kind: 'read'; readonly lease: LeaseId}
  /** Record that a lease was proved to have ended. */
  | {readonly kind: 'markEnded'; readonly lease: LeaseId}
  | {readonly kind: 'grant'; readonly request: GrantRequest}
  /** Tell the log and the request path that slices began or were released. */
  | {readonly kind: 'began'; readonly slices: readonly SliceEpoch[]}
  | {readonly kind: 'released'; readonly slices: readonly SliceEpoch[]}
  | {readonly kind: 'replaced'}
  | {readonly kind: 'leaseEnded'; readonly lease: LeaseId};

/** A new state together with what is to be done. */
export interface Step {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A part of a decision. */
export type Decision = (state: State, now: number) => Step;

/**
 * Applies decisions one after the other and collects their effects.
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
 * Returns a step that changes nothing.
 *
 * @example
 * if (!due) return unchanged(state);
 */
export function unchanged(state: State): Step {
  return {state, effects: []};
}
