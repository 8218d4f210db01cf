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
import {changeMap, confirmMap, type MapAccess} from './maps.js';

/** The instance to which keys are delivered. */
export interface Recipient {
  readonly life: Incarnation;
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
  readonly pause: (timeMs: number) => Promise<unknown>;
  /** Length of a hold in milliseconds. */
  readonly holdMs: number;
  /** The instance beside; undefined while none is known. */
  readonly recipient: () => Recipient | undefined;
  /** Told when the instance has answered a call, which shows that it lives. */
  readonly answered: (life: Incarnation) => void;
  /** Told of what the instance says of itself in the answer to a call. */
  readonly stated: (life: Incarnation, answer: ReceivedStatement) => void;
  /** Told when the keys that the instance holds may have changed. */
  readonly changed: () => void;
}

/**
 * A way in which an instance gets the keys that the map names it for, and gives
 * them back. What it is to hold is decided by the map alone.
 */
export interface Delivery {
  /** A new life holds nothing. */
  readonly begin: () => void;
  /** An earlier process of this daemon may have delivered keys to the instance. */
  readonly resume: () => void;
  /** Takes what a heartbeat says of keys, in the order of heartbeats. */
  readonly hear: (report: HoldReport) => void;
  /** Returns what the answer to a heartbeat says of keys. */
  readonly answer: (
    beat: Heartbeat,
    report: HoldReport,
    arrivedAt: number,
  ) => Promise<HeartbeatAnswer>;
  /** Does what is due; to be called with changes of the map and from time to time. */
  readonly look: () => void;
  /** Asks the instance for a sign of life, in a way that has one. */
  readonly ask: () => Promise<void>;
  /**
   * Tells whether the instance holds a key; undefined where this process has
   * delivered nothing yet.
   */
  readonly holds: (key: number) => boolean | undefined;
  /** The instance says that it does not hold a key. */
  readonly denied: (key: number) => void;
  /** Time for which keys are still held, in milliseconds. */
  readonly holdLeftMs: () => number | undefined;
  /**
   * Time from which the newest hold is bounded, in milliseconds; -Infinity where
   * this process has delivered nothing.
   */
  readonly boundedFrom: () => number;
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
export async function confirmFor(
  context: DeliveryContext,
  {life, service}: Recipient,
): Promise<RangeMap | undefined> {
  const map = await confirmMap(context, service);
  const current = context.recipient();
  if (!map || !current || !isSameIncarnation(current.life, life))
    return undefined;
  const isRevoked = (term: RangeTerm) =>
    term.state === 'revoked' && isSameIncarnation(term.holder, life);
  if (current.state !== 'ready' || !map.terms.some(isRevoked)) return map;
  return changeMap(context, service, 'restore', m => restore(m, life));
}

/**
 * Logs what an instance is to hold.
 *
 * @example
 * logGranted(context, recipient, rows);
 */
export function logGranted(
  {log}: Pick<DeliveryContext, 'log'>,
  {service, life}: Recipient,
  rows: readonly RangeTerm[],
): void {
  const keys = rows.reduce((sum, {from, to}) => sum + to - from + 1, 0);
  log(SIDECAR_EVENTS.granted, {
    service,
    upstream: life.id,
    ranges: rows.length,
    keys,
    fence: Math.max(0, ...rows.map(row => row.fence)),
  });
}
