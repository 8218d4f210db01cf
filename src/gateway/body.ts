import type {IncomingMessage} from 'node:http';
import type {RequestHead} from './head.js';

/** Longest body, in bytes, that is kept so that a request can be replayed. */
export const BUFFERED_BODY_LIMIT_BYTES = 16 * 1024;

/** How a request's body is handled. */
export type BodyMode = 'none' | 'kept' | 'streamed';

/**
 * Chooses how the body of a request is handled: short ones of known length are
 * kept whole before the request is sent, all others are streamed.
 *
 * @example
 * bodyMode({headers: [], chunked: true}); // 'streamed'
 */
export function bodyMode(head: RequestHead): BodyMode {
  if (head.isChunked) return 'streamed';
  if (!head.contentLength) return 'none';
  return head.contentLength <= BUFFERED_BODY_LIMIT_BYTES ? 'kept' : 'streamed';
}

/** Limits on the arrival of one body. */
export interface BodyLimits {
  readonly bodyBytes: number;
  /** Longest silence between two parts of the body, in milliseconds. */
  readonly idleMs: number;
  readonly onIdle: () => void;
  readonly onTooLarge: () => void;
}

/**
 * Reads a body part by part, no faster than it is taken. A limit that is
 * exceeded is reported, and ends the body with an error.
 *
 * @example
 * for await (const part of streamBody(request, limits)) socket.write(part);
 */
export async function* streamBody(
  request: IncomingMessage,
  limits: BodyLimits,
): AsyncGenerator<Buffer> {
  let isWaiting = true;
  const timer = setInterval(() => {
    if (isWaiting) limits.onIdle();
  }, limits.idleMs);
  let total = 0;
  try {
    for await (const part of request.iterator({destroyOnReturn: false})) {
      isWaiting = false;
      total += (part as Buffer).length;
      if (total > limits.bodyBytes) {
        limits.onTooLarge();
        throw new RangeError('body is longer than the limit');
      }
      yield part as Buffer;
      isWaiting = true;
      timer.refresh();
    }
  } finally {
    clearInterval(timer);
  }
}

/**
 * Reads a whole body into memory.
 *
 * @example
 * const body = await keepBody(request, limits);
 */
export async function bufferBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of streamBody(request, limits)) parts.push(part);
  return parts.length === 1 ? parts[0] : Buffer.concat(parts);
}
