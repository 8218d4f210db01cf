import type {Member, MemberState} from './member.js';
import type {SliceRecord} from './term.js';

/** Status of a daemon, served by `GET /status` at its control address. */
export interface Status {
  readonly instance: string;
  readonly generation: number;
  readonly process: string;
  readonly state: MemberState | 'starting';
  readonly site: string;
  readonly service: string;
  /** Version of the configuration in force; 0 before the first one. */
  readonly configurationVersion: number;
  readonly leaseValid: boolean;
  /** Number of slices that this instance serves. */
  readonly slices: number;
  readonly inFlight: number;
  readonly upstreamHealthy: boolean;
  readonly platformReachable: boolean;
  readonly members: readonly Member[];
}

/** Route of a key as known to a daemon, from `GET /explain?service=S&key=K`. */
export interface Explanation {
  readonly service: string;
  readonly key: string;
  readonly slice: number;
  /** Instance that most likely serves the slice. */
  readonly owner?: string;
  readonly epoch?: number;
  readonly record?: SliceRecord;
  /** Steps that determine the owner from the record, one sentence each. */
  readonly reasons: readonly string[];
}
