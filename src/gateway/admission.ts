import type {FailureReason} from '../model/index.js';

/** A request for a slot of the upstream. */
export interface AdmissionRequest {
  readonly service: string;
  /** Requests with a lower number are admitted first. */
  readonly priority: number;
  /** Deadline of the answer, in milliseconds of the gateway's clock. */
  readonly deadlineAt: number;
  /** IP address of the caller, for fairness between callers. */
  readonly caller: string;
  /** Aborted when the request stops waiting for admission. */
  readonly signal: AbortSignal;
  readonly key?: string;
}

/** Decision of admission control on one request. */
export type AdmissionDecision =
  /** The request holds a slot until `release` is called. */
  | {readonly kind: 'admitted'; readonly release: () => void}
  | {
      readonly kind: 'refused';
      readonly reason: FailureReason;
      readonly retryAfterMs: number;
    };

/** Admits requests to slots of the upstream, or refuses them. */
export type AdmissionControl = (
  request: AdmissionRequest,
) => Promise<AdmissionDecision> | AdmissionDecision;
