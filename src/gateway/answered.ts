import {REQUEST_HEADER} from './local.js';
import type {Pass} from './pass.js';
import type {KeptAnswer} from './replay.js';

/** Header that marks an answer as that of an earlier, equal request. */
export const REPLAYED_HEADER = 'vanillaspool-replayed';

/**
 * Answers a request with the kept answer of an earlier one.
 *
 * @example
 * writeAnswer(pass, verdict.answer);
 */
export function writeAnswer(pass: Pass, answer: KeptAnswer): void {
  const headers = withoutRequest(answer.headers);
  headers.push(REPLAYED_HEADER, 'true');
  if (pass.hop) headers.push(REQUEST_HEADER, pass.id);
  pass.response.writeHead(answer.status, headers);
  pass.response.end(answer.body);
}

/** Drops the identifier of the earlier request. */
function withoutRequest(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i] === REQUEST_HEADER) continue;
    kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}
