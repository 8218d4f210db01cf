import type {
  Address,
  Configuration,
  Outcome,
  Ownership,
} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import type {PreviousHandover} from '../routing/index.js';
import type {Pools, ReceivedStatement, Upstream} from '../upstream/index.js';
import type {AdmissionControl} from './admission.js';
import type {ObservedLoads} from './observed-loads.js';
import type {ReceivedHops} from './received-hops.js';
import type {IdempotencyStore} from './idempotency.js';
import type {Signer} from './signature.js';
import type {Trace} from './trace.js';

/** How other daemons and callers know this daemon. */
export interface DaemonIdentity {
  readonly instance: string;
  /** Random identifier of the start of this process. */
  readonly process: string;
  /** Address at which callers reach this daemon. */
  readonly callers: Address;
}

/** What the request path asks of the rest of the daemon. */
export interface GatewayOptions {
  /** Configuration in force; undefined before the first. */
  readonly configuration: () => Configuration | undefined;
  readonly ownership: Ownership;
  readonly self: DaemonIdentity;
  readonly admit: AdmissionControl;
  /** Takes one retry out of the budget, or tells that none is left. */
  readonly takeRetry: () => boolean;
  /** The upstream beside this daemon, once it has announced itself. */
  readonly upstream: () => Upstream | undefined;
  readonly signer: Signer;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Time in milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Random number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
  readonly log: Log;
  readonly trace: Trace;
  /** Reports an epoch of a slice that another daemon knows. */
  readonly onEpochSeen?: (
    service: string,
    slice: number,
    epoch: number,
  ) => void;
  /**
   * The handover of a service that was in force before, until no request that
   * began under it is in flight at any daemon; undefined from then on.
   */
  readonly previousHandover?: (service: string) => PreviousHandover | undefined;
  /** Resolves when a previous handover may have ended. */
  readonly handoverChanged?: (service: string) => Promise<void>;
  /** Told of each request that has ended, with its time in milliseconds. */
  readonly onFinished?: (
    service: string,
    outcome: 'answered' | Outcome,
    sender: 'caller' | 'peer',
    timeMs: number,
  ) => void;
  /** Counts a first attempt that is forwarded, for the retry budget. */
  readonly countForwarded?: () => void;
  /** Told of what the upstream says of itself in an answer. */
  readonly onStatement?: (answer: ReceivedStatement) => void;
  /** Reports that the upstream shed a request and asked to wait. */
  readonly onShed?: (service: string, retryAfterMs: number) => void;
}

/** Options and shared state of one gateway. */
export interface Context extends GatewayOptions {
  readonly upstreamPools: Pools;
  readonly peerPools: Pools;
  readonly oldAddressPools: Pools;
  /** Next number for a request identifier. */
  readonly nextNumber: () => number;
  /** Next sequence number of the hops to one process. */
  readonly nextSequence: (process: string) => number;
  readonly receivedHops: ReceivedHops;
  readonly idempotency: IdempotencyStore;
  readonly observedLoads: ObservedLoads;
  /** Callers' address of this daemon, as told to callers. */
  readonly ownerAddress: string;
}
