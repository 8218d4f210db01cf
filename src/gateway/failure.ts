import type {ServerResponse} from 'node:http';
import type {Failure} from '../model/index.js';

/** Header that states whether a failed request was run. */
export const OUTCOME_HEADER = 'vanillaspool-outcome';

/**
 * Header that gives the failure reason to the daemon that forwarded the
 * request.
 */
export const REASON_HEADER = 'vanillaspool-reason';

const MS_PER_SECOND = 1000;

/**
 * Answers a request with a failure: an outcome header, a JSON body and, for a
 * failure with a retry delay, Retry-After in whole seconds.
 *
 * @param request Identifier of the request.
 * @param more Name and value of each further header in turn.
 *
 * @example
 * sendFailure(response, notRun('no-service', 'no service matches the request path'), id);
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
