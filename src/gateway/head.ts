import {
  HOP_BY_HOP_HEADERS,
  OWN_HEADER_PREFIX,
  removeListedHeaders,
} from '../upstream/index.js';

/** Header by which a caller states its deadline, in milliseconds from now. */
export const DEADLINE_HEADER = 'vanillaspool-deadline';

/** Header that carries the signed description of a hop between daemons. */
export const HOP_HEADER = 'vanillaspool-hop';

/** Header that carries the signature of a hop. */
export const SIGNATURE_HEADER = 'vanillaspool-signature';

const DEADLINE_LIMIT_MS = 24 * 60 * 60 * 1000;

/** What the headers of a request say. */
export interface RequestHead {
  /** Name and value of each header in turn that may be passed on. */
  readonly headers: string[];
  readonly host?: string;
  readonly deadlineMs?: number;
  readonly traceparent?: string;
  readonly idempotencyKey?: string;
  /** Length of the body in bytes, if the request states it. */
  readonly contentLength?: number;
  /** The body's length is not stated; it comes in chunks. */
  readonly isChunked: boolean;
  /** The caller sends its body only once it is told to continue. */
  readonly expectsContinue?: boolean;
  readonly hop?: string;
  readonly signature?: string;
  /** Why the request is refused, if it is malformed. */
  readonly problem?: string;
}

/**
 * Reads the headers of a request: takes out those of the connection and
 * vanillaspool's own, and refuses shapes that two readers might take for
 * different requests.
 *
 * @param raw Name and value of each header in turn, as received.
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
          head.problem = 'transfer-encoding other than chunked';
        }
        head.isChunked = true;
        continue;
      case 'content-length':
        if (head.contentLength !== undefined || !/^\d{1,15}$/.test(value)) {
          head.problem = 'content-length is not one number';
        }
        head.contentLength = Number(value);
        break;
      case 'host':
        if (head.host !== undefined) head.problem = 'host is given twice';
        head.host = value;
        break;
      case 'expect':
        if (value.toLowerCase() !== '100-continue') {
          head.problem = 'expectation other than 100-continue';
        }
        head.expectsContinue = true;
        continue;
      case 'traceparent':
        head.traceparent = value;
        continue;
      case 'idempotency-key':
        if (head.idempotencyKey !== undefined) {
          head.problem = 'idempotency-key is given twice';
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
    head.problem = 'both transfer-encoding and content-length';
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
    head.problem = `${DEADLINE_HEADER} is not one positive number`;
    return;
  }
  head.deadlineMs = Math.min(deadlineMs, DEADLINE_LIMIT_MS);
}
