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

/** Identity of this daemon towards other daemons and callers. */
export interface DaemonIdentity {
  readonly instance: string;
  /** Random identifier of this process, new at each start. */
  readonly process: string;
  /** Address at which callers reach this daemon. */
  readonly callers: Address;
}

/** Dependencies of the request path on the rest of the daemon. */
export interface GatewayOptions {
  /** Returns the current configuration; undefined before the first. */
  readonly configuration: () => Configuration | undefined;
  readonly ownership: Ownership;
  readonly self: DaemonIdentity;
  readonly admit: AdmissionControl;
  /**
   * Takes one retry from the retry budget; returns false when the budget is
   * empty.
   */
  readonly takeRetry: () => boolean;
  /** Returns the upstream of this daemon; undefined until it has registered. */
  readonly upstream: () => Upstream | undefined;
  readonly signer: Signer;
  /** Returns a monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Returns the time in milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Returns a random number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
  readonly log: Log;
  readonly trace: Trace;
  /** Called with the epoch of a slice that another daemon reported. */
  readonly onEpochSeen?: (
    service: string,
    slice: number,
    epoch: number,
  ) => void;
  /**
   * Returns the previous handover of a service while a request that started
   * under it is in flight at any daemon; undefined afterwards.
   */
  readonly previousHandover?: (service: string) => PreviousHandover | undefined;
  /** Resolves when the previous handover of a service may have ended. */
  readonly handoverChanged?: (service: string) => Promise<void>;
  /** Called when a request has ended, with its duration in milliseconds. */
  readonly onFinished?: (
    service: string,
    outcome: 'answered' | Outcome,
    sender: 'caller' | 'peer',
    timeMs: number,
  ) => void;
  /** Counts a first attempt that is forwarded, as input of the retry budget. */
  readonly countForwarded?: () => void;
  /**
   * Called with the limit and draining state that the upstream stated in an
   * answer.
   */
  readonly onStatement?: (answer: ReceivedStatement) => void;
  /**
   * Called when the upstream shed a request, with the retry delay that it
   * requested.
   */
  readonly onShed?: (service: string, retryAfterMs: number) => void;
}

/** Options and shared state of one gateway. */
export interface Context extends GatewayOptions {
  readonly upstreamPools: Pools;
  readonly peerPools: Pools;
  readonly oldAddressPools: Pools;
  /** Returns the next number for a request identifier. */
  readonly nextNumber: () => number;
  /** Returns the next sequence number of the hops to one process. */
  readonly nextSequence: (process: string) => number;
  readonly receivedHops: ReceivedHops;
  readonly idempotency: IdempotencyStore;
  readonly observedLoads: ObservedLoads;
  /** Address of this daemon that answers give to callers as the owner. */
  readonly ownerAddress: string;
}
