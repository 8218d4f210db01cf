import type {ServerResponse} from 'node:http';
import type {Failure} from '../model/index.js';

/** Header that tells a caller what is known about a failed request. */
export const OUTCOME_HEADER = 'vanillaspool-outcome';

/** Header that tells another daemon why a request failed. */
export const REASON_HEADER = 'vanillaspool-reason';

const MS_PER_SECOND = 1000;

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
