import type {Address} from '../model/index.js';
import type {MemberState} from '../fleet/index.js';
import {
  confirmTerms,
  grantableTerms,
  heldBy,
  restore,
  isSameIncarnation,
  type HeldRange,
  type HoldReport,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';
import type {ReceivedStatement} from '../upstream/index.js';
import {SIDECAR_EVENTS} from './events.js';
import type {Heartbeat, HeartbeatAnswer} from './heartbeat.js';
import {changeMap, readLatestMap, type MapAccess} from './maps.js';

/** The instance to which keys are granted. */
export interface Recipient {
  readonly incarnation: Incarnation;
  readonly service: string;
  readonly address: Address;
  readonly state: MemberState;
  /** The instance has neither sent heartbeats nor answered calls recently. */
  readonly isSilent: boolean;
}

/** Environment of a grant delivery. */
export interface DeliveryContext extends MapAccess {
  readonly clock: () => number;
  /**
   * Time of day in Unix milliseconds, which goes on while the machine is
   * suspended.
   */
  readonly wallClock: () => number;
  /** Waits for a time in milliseconds. */
  readonly sleep: (timeMs: number) => Promise<unknown>;
  /** Duration of a lease, in milliseconds. */
  readonly leaseMs: number;
  /** Returns the local instance; undefined while none is known. */
  readonly recipient: () => Recipient | undefined;
  /** Called when the instance has answered a call, which proves it alive. */
  readonly onAnswer: (life: Incarnation) => void;
  /** Called with the statement of the instance in the response to a call. */
  readonly onStatement: (life: Incarnation, answer: ReceivedStatement) => void;
  /** Called when the keys that the instance holds may have changed. */
  readonly onChange: () => void;
}

/**
 * Grants an instance the keys that the range map assigns to it, and takes back
 * those that the map withdraws. The map alone decides which keys these are.
 */
export interface GrantDelivery {
  /** Discards all grants, since a new incarnation holds no keys. */
  readonly reset: () => void;
  /**
   * Takes into account that an earlier process of this daemon may have granted
   * keys.
   */
  readonly resume: () => void;
  /**
   * Records the keys that a heartbeat reports; called in the order of
   * heartbeats.
   */
  readonly recordReport: (report: HoldReport) => void;
  /** Returns the grants for the response to a heartbeat. */
  readonly answerHeartbeat: (
    beat: Heartbeat,
    report: HoldReport,
  ) => Promise<HeartbeatAnswer>;
  /**
   * Brings the grants in line with the map; called on changes of the map and
   * periodically.
   */
  readonly reconcile: () => void;
  /**
   * Calls the instance to check that it is alive, if this delivery makes calls.
   */
  readonly confirmAlive: () => Promise<void>;
  /**
   * Returns whether the instance holds a key; undefined if this process has
   * granted nothing yet.
   */
  readonly holds: (key: number) => boolean | undefined;
  /** Records that the instance has reported not to hold a key. */
  readonly recordNotHeld: (key: number) => void;
  /** Returns the time until a lease expires unless renewed, in milliseconds. */
  readonly leaseLeftMs: () => number | undefined;
  /**
   * Returns the time from which the last lease counts that was granted or may
   * be granted by an answer in preparation, in milliseconds; -Infinity if this
   * process has granted nothing.
   */
  readonly lastConfirmedAt: () => number;
}

/** Keys that an instance may be granted, by the latest map. */
export interface GrantableKeys {
  readonly map: RangeMap;
  /** Version of the map. */
  readonly version: number;
  readonly terms: readonly RangeTerm[];
  /** Whether the map gives the instance more keys than may be granted now. */
  readonly isPartial: boolean;
}

/**
 * Reads the latest map before keys are granted, and restores keys that were
 * revoked from an instance that has proved to be alive. After the store came back
 * from a copy, keys of the instance are confirmed in the map.
 *
 * @param leased Returns the ranges of leases that have not expired.
 * @returns undefined when no keys may be granted now.
 *
 * @example
 * const read = await readGrantableKeys(context, recipient, () => rows);
 * if (read) grantAll(read.terms);
 */
export async function readGrantableKeys(
  context: DeliveryContext,
  {incarnation, service}: Recipient,
  leased: () => readonly HeldRange[],
): Promise<GrantableKeys | undefined> {
  let read = await readLatestMap(context, service);
  if (read?.isUndone) {
    read = await changeMap(context, service, 'recovery', m => m);
  }
  const current = context.recipient();
  if (!read || !current || !isSameIncarnation(current.incarnation, incarnation))
    return undefined;
  // Computed again after a conflict, when a lease may have expired.
  const prepare = (m: RangeMap) => {
    const restored = current.state === 'ready' ? restore(m, incarnation) : m;
    return confirmTerms(restored, incarnation, leased());
  };
  if (prepare(read.value) !== read.value) {
    read = await changeMap(context, service, 'restore', prepare);
  }
  if (!read || read.isUndone) return undefined;
  const {value: map, version} = read;
  const held = heldBy(map, incarnation);
  const terms = grantableTerms(map, held, leased());
  return {map, version, terms, isPartial: terms.length < held.length};
}

/** What a grant of keys is based on. */
export interface GrantBasis {
  /** Version of the map that assigns the keys. */
  readonly version: number;
  /** Time since the lease began, in milliseconds. */
  readonly ageMs: number;
  /** Sequence number of the answered heartbeat, if there is one. */
  readonly sequence?: number;
}

/**
 * Logs the keys that an instance is granted.
 *
 * @example
 * logGrants(context, recipient, terms, {version, ageMs: clock() - readAt});
 */
export function logGrants(
  {log}: Pick<DeliveryContext, 'log'>,
  {service, incarnation}: Recipient,
  terms: readonly RangeTerm[],
  {version, ageMs, sequence}: GrantBasis,
): void {
  const keys = terms.reduce((sum, {from, to}) => sum + to - from + 1, 0);
  log(SIDECAR_EVENTS.grantsChanged, {
    service,
    upstream: incarnation.id,
    ranges: terms.length,
    keys,
    fence: Math.max(0, ...terms.map(row => row.fence)),
    version,
    ageMs: Math.round(ageMs),
    sequence,
  });
}
