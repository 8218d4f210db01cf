import type {Address} from '../model/index.js';
import type {HeldRange, RangeTerm, Release} from '../ranges/index.js';

/**
 * Heartbeat intervals without a sign of life after which an instance is silent.
 */
export const MAX_MISSED_HEARTBEATS = 2.7;

/**
 * A status message that an instance sends to its daemon about once a second.
 */
export interface Heartbeat {
  readonly id: string;
  /** Start time of the instance, in Unix milliseconds. */
  readonly born: number;
  /** Sequence number, which increases with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  /** Address at which the daemon reaches the instance. */
  readonly address: Address;
  readonly domain: string;
  /** Requests that the instance executes concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /**
   * Remaining warm-up time during which the instance is slow, in milliseconds.
   */
  readonly coldMs: number;
  /** Ranges that the instance holds, or is still processing requests for. */
  readonly holds: readonly HeldRange[];
  /** Ranges released since its last acknowledged heartbeat. */
  readonly freed: readonly Release[];
  /**
   * Sequence number of the heartbeat before on the same connection, whose
   * response the instance has read; undefined for the first.
   */
  readonly readSequence?: number;
  /**
   * Number of the connection on which it came. Connections to this process are
   * numbered in the order in which they were opened.
   */
  readonly connection?: number;
}

/** The response to a heartbeat. */
export interface HeartbeatAnswer {
  /** All ranges granted to the instance; undefined when nothing is renewed. */
  readonly grants?: readonly RangeTerm[];
  /** Duration of the lease, counted from the sending of the heartbeat. */
  readonly holdMs: number;
}
