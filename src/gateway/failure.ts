import type {ServerResponse} from 'node:http';
import type {Failure, FailureReason, Outcome} from '../model/index.js';

const STATUS: Readonly<Record<FailureReason, number>> = {
  'bad-key': 400,
  'bad-request': 400,
  'no-service': 404,
  'no-owner': 503,
  'not-owner': 503,
  overloaded: 503,
  deadline: 504,
  draining: 503,
  'lease-lost': 503,
  'upstream-refused': 503,
  'upstream-reset': 502,
  'upstream-short': 502,
  'too-large': 413,
  cancelled: 499,
};

/** Header that tells a caller what is known about a failed request. */
export const OUTCOME_HEADER = 'vanillaspool-outcome';

/** Header that tells another daemon why a request failed. */
export const REASON_HEADER = 'vanillaspool-reason';

const MS_PER_SECOND = 1000;

/**
 * Describes a request that was certainly not run.
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
 * Describes a request that may have been run.
 *
 * @example
 * unknown('upstream-reset', 'the connection broke before an answer');
 */
export function unknown(reason: FailureReason, message: string): Failure {
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

/**
 * Answers a request with a failure: outcome header, Retry-After in whole
 * seconds, and a JSON body.
 *
 * @param request Identifier of the request.
 * @param more Name and value of each further header in turn.
 *
 * @example
 * sendFailure(response, notRun('no-service', 'no service has this path'), id);
 */
export function sendFailure(
  response: ServerResponse,
  failed: Failure,
  request: string,
  more: readonly string[] = [],
): void {
  const {outcome, reason, message} = failed;
  const body = JSON.stringify({outcome, reason, message, request}) + '\n';
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
    OUTCOME_HEADER,
    outcome,
    ...more,
  ];
  if (failed.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failed.retryAfterMs / MS_PER_SECOND);
    headers.push('Retry-After', String(seconds));
  }
  response.writeHead(failed.status, headers);
  response.end(body);
}
