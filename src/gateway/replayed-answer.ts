import {REQUEST_HEADER} from './local.js';
import type {ActiveRequest} from './active-request.js';
import type {StoredAnswer} from './replay.js';

/** Header that marks an answer as that of an earlier, equal request. */
export const REPLAYED_HEADER = 'vanillaspool-replayed';

/**
 * Answers a request with the kept answer of an earlier one.
 *
 * @example
 * writeAnswer(pass, verdict.answer);
 */
export function writeReplayedAnswer(
  active: ActiveRequest,
  answer: StoredAnswer,
): void {
  const headers = withoutRequestId(answer.headers);
  headers.push(REPLAYED_HEADER, 'true');
  if (active.hop) headers.push(REQUEST_HEADER, active.id);
  active.response.writeHead(answer.status, headers);
  active.response.end(answer.body);
}

/** Drops the identifier of the earlier request. */
function withoutRequestId(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i] === REQUEST_HEADER) continue;
    kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}
