import type {FailureReason} from '../model/index.js';

/** A request that asks for a slot of the upstream. */
export interface AdmissionRequest {
  readonly service: string;
  /** Requests of a lower number are admitted first. */
  readonly priority: number;
  /** Time by which the answer is due, in milliseconds of the gateway's clock. */
  readonly deadlineAt: number;
  /** IP number of the caller, for fairness between callers. */
  readonly caller: string;
  /** Aborted when the request is given up while it waits. */
  readonly signal: AbortSignal;
  readonly key?: string;
}

/** Answer of admission control to one request. */
export type AdmissionDecision =
  /** The request has a slot until `release` is called. */
  | {readonly kind: 'admitted'; readonly release: () => void}
  | {
      readonly kind: 'refused';
      readonly reason: FailureReason;
      readonly retryAfterMs: number;
    };

/** Gives slots of the upstream to requests. */
export type AdmissionControl = (
  request: AdmissionRequest,
) => Promise<AdmissionDecision> | AdmissionDecision;
