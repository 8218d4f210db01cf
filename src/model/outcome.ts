/**
 * What is known about a request that got no answer from its upstream:
 * `not-run` is certain and safe to repeat, `unknown` may have been executed.
 */
export type Outcome = 'not-run' | 'unknown';

/** Why a request failed; also the `reason` of the JSON error body. */
export type FailureReason =
  | 'bad-key'
  | 'bad-request'
  | 'no-service'
  | 'no-owner'
  | 'not-owner'
  | 'overloaded'
  | 'deadline'
  | 'draining'
  | 'lease-lost'
  | 'upstream-refused'
  | 'upstream-reset'
  | 'upstream-short'
  | 'too-large'
  | 'cancelled';

/** A failed request, as told to its caller. */
export interface Failure {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  readonly message: string;
  /** Time after which a repeat makes sense, in milliseconds. */
  readonly retryAfterMs?: number;
}
