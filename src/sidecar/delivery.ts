import type {Address} from '../model/index.js';
import type {MemberState} from '../fleet/index.js';
import {
  restore,
  isSameIncarnation,
  type HoldReport,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';
import type {ReceivedStatement} from '../upstream/index.js';
import {SIDECAR_EVENTS} from './events.js';
import type {Heartbeat, HeartbeatAnswer} from './heartbeat.js';
import {changeMap, readLatestMap, type MapAccess} from './maps.js';

/** The instance to which keys are delivered. */
export interface Recipient {
  readonly incarnation: Incarnation;
  readonly service: string;
  readonly address: Address;
  readonly state: MemberState;
  /** It has shown no sign of life for a while. */
  readonly isSilent: boolean;
}

/** What every way of delivering keys needs. */
export interface DeliveryContext extends MapAccess {
  readonly clock: () => number;
  /** Waits for a time in milliseconds. */
  readonly sleep: (timeMs: number) => Promise<unknown>;
  /** Length of a hold in milliseconds. */
  readonly leaseMs: number;
  /** The instance beside; undefined while none is known. */
  readonly recipient: () => Recipient | undefined;
  /** Told when the instance has answered a call, which shows that it lives. */
  readonly onAnswer: (life: Incarnation) => void;
  /** Told of what the instance says of itself in the answer to a call. */
  readonly onStatement: (life: Incarnation, answer: ReceivedStatement) => void;
  /** Told when the keys that the instance holds may have changed. */
  readonly onChange: () => void;
}

/**
 * A way in which an instance gets the keys that the map names it for, and gives
 * them back. What it is to hold is decided by the map alone.
 */
export interface GrantDelivery {
  /** A new life holds nothing. */
  readonly reset: () => void;
  /** An earlier process of this daemon may have delivered keys to the instance. */
  readonly resume: () => void;
  /** Takes what a heartbeat says of keys, in the order of heartbeats. */
  readonly recordReport: (report: HoldReport) => void;
  /** Returns what the answer to a heartbeat says of keys. */
  readonly answerHeartbeat: (
    beat: Heartbeat,
    report: HoldReport,
    arrivedAt: number,
  ) => Promise<HeartbeatAnswer>;
  /** Does what is due; to be called with changes of the map and from time to time. */
  readonly reconcile: () => void;
  /** Asks the instance for a sign of life, in a way that has one. */
  readonly confirmAlive: () => Promise<void>;
  /**
   * Tells whether the instance holds a key; undefined where this process has
   * delivered nothing yet.
   */
  readonly holds: (key: number) => boolean | undefined;
  /** The instance says that it does not hold a key. */
  readonly recordNotHeld: (key: number) => void;
  /** Time for which keys are still held, in milliseconds. */
  readonly leaseLeftMs: () => number | undefined;
  /**
   * Time from which the newest hold is bounded, in milliseconds; -Infinity where
   * this process has delivered nothing.
   */
  readonly lastConfirmedAt: () => number;
}

/**
 * Reads the map past all copies for keys that are about to be delivered, and
 * returns keys that were revoked from an instance that turned out to live.
 *
 * @returns undefined where nothing may be delivered now.
 *
 * @example
 * const map = await confirmFor(context, recipient);
 * if (map) deliver(heldBy(map, recipient.life));
 */
export async function readMapForGrant(
  context: DeliveryContext,
  {incarnation: incarnation, service}: Recipient,
): Promise<RangeMap | undefined> {
  const map = await readLatestMap(context, service);
  const current = context.recipient();
  if (!map || !current || !isSameIncarnation(current.incarnation, incarnation))
    return undefined;
  const isRevoked = (term: RangeTerm) =>
    term.state === 'revoked' && isSameIncarnation(term.holder, incarnation);
  if (current.state !== 'ready' || !map.terms.some(isRevoked)) return map;
  return changeMap(context, service, 'restore', m => restore(m, incarnation));
}

/**
 * Logs what an instance is to hold.
 *
 * @example
 * logGranted(context, recipient, rows);
 */
export function logGrants(
  {log}: Pick<DeliveryContext, 'log'>,
  {service, incarnation: incarnation}: Recipient,
  terms: readonly RangeTerm[],
): void {
  const keys = terms.reduce((sum, {from, to}) => sum + to - from + 1, 0);
  log(SIDECAR_EVENTS.grantsChanged, {
    service,
    upstream: incarnation.id,
    ranges: terms.length,
    keys,
    fence: Math.max(0, ...terms.map(row => row.fence)),
  });
}
