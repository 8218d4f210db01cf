import type {Failure, FailureReason, Outcome} from './outcome.js';

const STATUS: Readonly<Record<FailureReason, number>> = {
  'bad-key': 400,
  'bad-request': 400,
  'no-service': 404,
  'no-owner': 503,
  'not-owner': 503,
  overloaded: 503,
  quarantined: 503,
  deadline: 504,
  draining: 503,
  'lease-lost': 503,
  'upstream-refused': 503,
  'upstream-reset': 502,
  'upstream-short': 502,
  'too-large': 413,
  cancelled: 499,
};

/**
 * Creates the failure of a request that was certainly not executed.
 *
 * @example
 * notRun('overloaded', 'no slot is free', 1500);
 */
export function notRun(
  reason: FailureReason,
  message: string,
  retryAfterMs?: number,
): Failure {
  return failure('not-run', reason, message, retryAfterMs);
}

/**
 * Creates the failure of a request that may have been executed.
 *
 * @example
 * unknownOutcome('upstream-reset', 'the connection broke before an answer');
 */
export function unknownOutcome(
  reason: FailureReason,
  message: string,
): Failure {
  return failure('unknown', reason, message);
}

function failure(
  outcome: Outcome,
  reason: FailureReason,
  message: string,
  retryAfterMs?: number,
): Failure {
  return {status: STATUS[reason], outcome, reason, message, retryAfterMs};
}
