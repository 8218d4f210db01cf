import type {Address} from '../model/index.js';

/** The upstream local to this daemon, as announced by the upstream. */
export interface Upstream {
  readonly service: string;
  readonly address: Address;
  /** Number of requests that the upstream executes concurrently. */
  readonly slots: number;
  /** Number of connections that the upstream accepts. */
  readonly connections: number;
}
