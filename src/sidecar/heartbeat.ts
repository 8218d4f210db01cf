import type {Address} from '../model/index.js';
import type {HeldRange, RangeTerm, Release} from '../ranges/index.js';

/** What an instance says of itself about once a second. */
export interface Heartbeat {
  readonly id: string;
  /** Start of the instance, in Unix milliseconds. */
  readonly born: number;
  /** Grows with each heartbeat of one life. */
  readonly sequence: number;
  readonly service: string;
  /** Address at which the daemon reaches the instance. */
  readonly address: Address;
  readonly domain: string;
  /** Requests that the instance executes at a time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** How much longer the instance is slow after its start. */
  readonly coldMs: number;
  /** Ranges that it holds or still works on. */
  readonly holds: readonly HeldRange[];
  /** Ranges released since its last acknowledged heartbeat. */
  readonly freed: readonly Release[];
}

/** The answer to a heartbeat. */
export interface HeartbeatAnswer {
  /** Everything that the instance is to hold; undefined to renew nothing. */
  readonly grants?: readonly RangeTerm[];
  /** Length of the hold from when the heartbeat was sent. */
  readonly holdMs: number;
}
