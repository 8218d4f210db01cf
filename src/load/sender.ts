import {Pool, type Dispatcher} from 'undici';
import {createConnector} from '../connector/index.js';
import {formatAddress, type Address} from '../model/index.js';
import {parseAddress} from '../model/index.js';
import {bodyOf, verdictOf, type Answer, type Verdict} from './answer.js';
import type {PlannedRequest} from './plan.js';

/** Time to wait for an answer beyond the deadline sent with the request. */
const DEADLINE_MARGIN_MS = 250;

/** Time limit for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** Error codes of requests that were not sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Outcome of one attempt to send a request. */
export interface Attempt {
  readonly verdict: Verdict;
  readonly status?: number;
  /** Reason given in the body of a failure, or the code of an error. */
  readonly reason?: string;
  readonly retryAfterMs?: number;
  /** Owner reported by the answer. */
  readonly owner?: Address;
}

/** Sends requests to daemons. */
export interface Sender {
  readonly send: (
    request: PlannedRequest,
    target: Address,
    deadlineMs: number,
  ) => Promise<Attempt>;
  readonly close: () => Promise<void>;
}

/**
 * Creates a sender with its own connection pools.
 *
 * @param connections Connections to each daemon.
 *
 * @example
 * const sender = createSender(16);
 * const attempt = await sender.send(request, {host: '127.0.0.1', port: 80}, 1000);
 */
export function createSender(connections: number): Sender {
  const pools = new Map<string, Pool>();
  const poolOf = (target: Address) => {
    const origin = `http://${formatAddress(target)}`;
    const found = pools.get(origin);
    if (found) return found;
    const connect = createConnector(CONNECT_TIMEOUT_MS);
    const pool = new Pool(origin, {connections, connect});
    pools.set(origin, pool);
    return pool;
  };
  return {
    send: async (request, target, deadlineMs) => {
      try {
        return await sendOnce(poolOf(target), request, deadlineMs);
      } catch (error) {
        return failedAttempt(error);
      }
    },
    close: async () => {
      await Promise.all([...pools.values()].map(pool => pool.destroy()));
    },
  };
}

async function sendOnce(
  pool: Pool,
  request: PlannedRequest,
  deadlineMs: number,
): Promise<Attempt> {
  const response = await pool.request({
    method: request.method,
    path: request.path,
    headers: headersOf(request, deadlineMs),
    body: request.bodyBytes > 0 ? bodyOf(request) : null,
    signal: AbortSignal.timeout(Math.ceil(deadlineMs + DEADLINE_MARGIN_MS)),
  });
  const answer = await readAnswer(response);
  return {
    verdict: verdictOf(request, answer),
    status: answer.status,
    reason: reasonOf(answer),
    retryAfterMs: answer.retryAfterMs,
    owner: ownerOf(headerOf(response, 'vanillaspool-owner')),
  };
}

function headersOf(
  request: PlannedRequest,
  deadlineMs: number,
): Record<string, string> {
  const {id, key, keyHeader} = request;
  const headers: Record<string, string> = {
    'vanillaspool-deadline': String(Math.max(1, Math.floor(deadlineMs))),
    'idempotency-key': id,
  };
  if (keyHeader && key !== undefined) headers[keyHeader] = key;
  return headers;
}

async function readAnswer(response: Dispatcher.ResponseData): Promise<Answer> {
  const retryAfter = headerOf(response, 'retry-after');
  return {
    status: response.statusCode,
    body: await response.body.text(),
    outcome: headerOf(response, 'vanillaspool-outcome'),
    retryAfterMs: retryAfter === undefined ? undefined : 1000 * +retryAfter,
  };
}

function headerOf(
  response: Dispatcher.ResponseData,
  name: string,
): string | undefined {
  const value = response.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function reasonOf({status, body}: Answer): string | undefined {
  if (status < 400) return undefined;
  try {
    return (JSON.parse(body) as {reason?: string}).reason;
  } catch {
    return undefined;
  }
}

function ownerOf(header: string | undefined): Address | undefined {
  try {
    return header === undefined ? undefined : parseAddress(header);
  } catch {
    return undefined;
  }
}

function failedAttempt(error: unknown): Attempt {
  const {code, name} = error as NodeJS.ErrnoException;
  const reason = typeof code === 'string' ? code : name;
  const isNotSent = NOT_SENT_CODES.has(reason);
  return {verdict: isNotSent ? 'not-sent' : 'unknown', reason};
}
