import {
  HOP_BY_HOP_HEADERS,
  OWN_HEADER_PREFIX,
  removeListedHeaders,
} from '../upstream/index.js';

/** Header with the deadline of a caller, in milliseconds from now. */
export const DEADLINE_HEADER = 'vanillaspool-deadline';

/** Header with the signed fields of a hop between daemons. */
export const HOP_HEADER = 'vanillaspool-hop';

/** Header with the signature of a hop. */
export const SIGNATURE_HEADER = 'vanillaspool-signature';

const DEADLINE_LIMIT_MS = 24 * 60 * 60 * 1000;

/** The parsed headers of a request. */
export interface RequestHead {
  /** Alternating names and values of the headers to forward. */
  readonly headers: string[];
  readonly host?: string;
  readonly deadlineMs?: number;
  readonly traceparent?: string;
  readonly idempotencyKey?: string;
  /** Value of Content-Length in bytes, if present. */
  readonly contentLength?: number;
  /** The body uses the chunked transfer encoding, so its length is unknown. */
  readonly isChunked: boolean;
  /** The caller waits for `100 Continue` before it sends the body. */
  readonly expectsContinue?: boolean;
  readonly hop?: string;
  readonly signature?: string;
  /** Reason for refusing the request, if it is malformed. */
  readonly problem?: string;
}

/**
 * Parses the headers of a request. Removes connection headers and
 * vanillaspool's own, and reports headers that two HTTP parsers could read as
 * different requests (request smuggling).
 *
 * @param raw Alternating names and values of the headers, as received.
 *
 * @example
 * readRequestHead(['Host', 'a', 'vanillaspool-deadline', '250']).deadlineMs; // 250
 */
export function readRequestHead(raw: readonly string[]): RequestHead {
  const headers: string[] = [];
  const head: Writable<RequestHead> = {headers, isChunked: false};
  let connectionOptions = '';
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i];
    const value = raw[i + 1];
    const lower = name.toLowerCase();
    switch (lower) {
      case 'connection':
        connectionOptions += `,${value}`;
        continue;
      case 'transfer-encoding':
        if (head.isChunked || value.toLowerCase() !== 'chunked') {
          head.problem = 'Transfer-Encoding must be chunked and given once';
        }
        head.isChunked = true;
        continue;
      case 'content-length':
        if (head.contentLength !== undefined || !/^\d{1,15}$/.test(value)) {
          head.problem =
            'Content-Length must be given once, as a decimal number';
        }
        head.contentLength = Number(value);
        break;
      case 'host':
        if (head.host !== undefined)
          head.problem = 'Host must be given once, found it repeated';
        head.host = value;
        break;
      case 'expect':
        if (value.toLowerCase() !== '100-continue') {
          head.problem = 'Expect must be 100-continue';
        }
        head.expectsContinue = true;
        continue;
      case 'traceparent':
        head.traceparent = value;
        continue;
      case 'idempotency-key':
        if (head.idempotencyKey !== undefined) {
          head.problem =
            'Idempotency-Key must be given once, found it repeated';
        }
        head.idempotencyKey = value;
        break;
      default:
        if (HOP_BY_HOP_HEADERS.has(lower)) continue;
        if (lower.startsWith(OWN_HEADER_PREFIX)) {
          readOwnHeader(head, lower, value);
          continue;
        }
    }
    headers.push(name, value);
  }
  if (head.isChunked && head.contentLength !== undefined) {
    head.problem =
      'expected one of Transfer-Encoding and Content-Length, found both';
  }
  removeListedHeaders(headers, connectionOptions);
  return head;
}

type Writable<T> = {-readonly [K in keyof T]: T[K]};

function readOwnHeader(
  head: Writable<RequestHead>,
  name: string,
  value: string,
): void {
  if (name === HOP_HEADER) head.hop = value;
  if (name === SIGNATURE_HEADER) head.signature = value;
  if (name !== DEADLINE_HEADER) return;
  const deadlineMs = /^\d{1,12}$/.test(value) ? Number(value) : 0;
  if (head.deadlineMs !== undefined || deadlineMs === 0) {
    head.problem = `${DEADLINE_HEADER} must be given once, as a positive integer`;
    return;
  }
  head.deadlineMs = Math.min(deadlineMs, DEADLINE_LIMIT_MS);
}
