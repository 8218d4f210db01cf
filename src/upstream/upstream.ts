import type {Address} from '../model/index.js';

/** The upstream beside this daemon, as it announced itself. */
export interface Upstream {
  readonly service: string;
  readonly address: Address;
  /** Requests that the upstream executes at a time. */
  readonly slots: number;
  /** Connections that the upstream accepts. */
  readonly connections: number;
}
