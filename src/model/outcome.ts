/**
 * Whether a request without a response from its upstream was executed:
 * `not-run` means certainly not, so repeating it is safe; `unknown` means that
 * it may have been.
 */
export type Outcome = 'not-run' | 'unknown';

/**
 * Reason for which a request failed; also the `reason` field of the JSON error
 * body.
 */
export type FailureReason =
  | 'bad-key'
  | 'bad-request'
  | 'no-service'
  | 'no-owner'
  | 'not-owner'
  | 'overloaded'
  | 'quarantined'
  | 'deadline'
  | 'draining'
  | 'lease-lost'
  | 'upstream-refused'
  | 'upstream-reset'
  | 'upstream-short'
  | 'too-large'
  | 'cancelled';

/** A failed request, as reported to its caller. */
export interface Failure {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  readonly message: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}
