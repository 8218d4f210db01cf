import type {Member, MemberState} from './member.js';
import type {SliceRecord} from './term.js';

/** What a daemon reports of itself at `GET /status` of its control address. */
export interface Status {
  readonly instance: string;
  readonly generation: number;
  readonly process: string;
  readonly state: MemberState | 'starting';
  readonly site: string;
  readonly service: string;
  /** Version of the configuration in force at this daemon; 0 before the first. */
  readonly configurationVersion: number;
  readonly leaseValid: boolean;
  /** Slices that this daemon serves. */
  readonly slices: number;
  readonly inFlight: number;
  readonly upstreamHealthy: boolean;
  readonly platformReachable: boolean;
  readonly members: readonly Member[];
}

/** What a daemon knows of a key, from `GET /explain?service=S&key=K`. */
export interface Explanation {
  readonly service: string;
  readonly key: string;
  readonly slice: number;
  /** Instance that is believed to serve the slice. */
  readonly owner?: string;
  readonly epoch?: number;
  readonly record?: SliceRecord;
  /** Steps that lead from the record to the owner, one sentence each. */
  readonly reasons: readonly string[];
}
