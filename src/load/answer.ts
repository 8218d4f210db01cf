import {createHash} from 'node:crypto';
import {isIdempotent} from './kind.js';
import type {PlannedRequest} from './plan.js';

/** A complete answer to one attempt. */
export interface Answer {
  readonly status: number;
  readonly body: string;
  /** The outcome header of a failure. */
  readonly outcome?: string;
  readonly retryAfterMs?: number;
}

/**
 * What one attempt came to. `wrong` is an answer that is not of its request;
 * `not-sent` never reached a daemon.
 */
export type Verdict = 'ok' | 'wrong' | 'not-run' | 'unknown' | 'not-sent';

/** The body by which an upstream proves which request it answers. */
interface RequestEcho {
  readonly method: string;
  readonly path: string;
  readonly bodyBytes: number;
  readonly bodyHash: string;
}

/**
 * Returns the body of a request, the same each time.
 *
 * @example
 * bodyOf({...request, id: 'a-1', bodyBytes: 4}).toString(); // 'a-1a'
 */
export function bodyOf(request: PlannedRequest): Buffer {
  return Buffer.alloc(request.bodyBytes, request.id);
}

/**
 * Judges an answer by its status, its outcome header and its proof.
 *
 * @example
 * judge(request, {status: 503, body: '', outcome: 'not-run'}); // 'not-run'
 */
export function verdictOf(request: PlannedRequest, answer: Answer): Verdict {
  if (answer.outcome === 'not-run') return 'not-run';
  if (answer.outcome !== undefined || answer.status >= 400) return 'unknown';
  if (request.method === 'HEAD') return answer.body === '' ? 'ok' : 'wrong';
  const echo = parseEcho(answer.body);
  if (!echo) return 'wrong';
  const isOwn =
    echo.method === request.method &&
    echo.path === request.path &&
    echo.bodyBytes === request.bodyBytes &&
    echo.bodyHash === hashOf(bodyOf(request));
  return isOwn ? 'ok' : 'wrong';
}

/**
 * Tells whether a verdict promises that the request was not executed.
 *
 * @example
 * isCertainlyNotRun('unknown'); // false
 */
export function isCertainlyNotRun(verdict: Verdict): boolean {
  return verdict === 'not-run' || verdict === 'not-sent';
}

/**
 * Tells whether a request may be sent again after a verdict.
 *
 * @example
 * mayRepeat({...request, method: 'POST'}, 'unknown'); // false
 */
export function mayRetry(request: PlannedRequest, verdict: Verdict): boolean {
  if (isCertainlyNotRun(verdict)) return true;
  return verdict === 'unknown' && isIdempotent(request.method);
}

function parseEcho(body: string): RequestEcho | undefined {
  try {
    return JSON.parse(body) as RequestEcho;
  } catch {
    return undefined;
  }
}

const EMPTY_HASH = createHash('sha256').digest('hex');

function hashOf(body: Buffer): string {
  if (body.length === 0) return EMPTY_HASH;
  return createHash('sha256').update(body).digest('hex');
}
