import type {IncomingMessage} from 'node:http';
import type {RequestHead} from './head.js';

/** Longest body that is buffered so that the request can be sent again. */
export const BUFFERED_BODY_LIMIT_BYTES = 16 * 1024;

/**
 * How a request body is handled: absent, buffered whole (`kept`) or streamed.
 */
export type BodyMode = 'none' | 'kept' | 'streamed';

/**
 * Chooses how a request body is handled. A short body of known length is
 * buffered before the request is sent; any other is streamed.
 *
 * @example
 * bodyMode({headers: [], isChunked: true}); // 'streamed'
 */
export function bodyMode(head: RequestHead): BodyMode {
  if (head.isChunked) return 'streamed';
  if (!head.contentLength) return 'none';
  return head.contentLength <= BUFFERED_BODY_LIMIT_BYTES ? 'kept' : 'streamed';
}

/** Limits on the size and the idle time of one body. */
export interface BodyLimits {
  readonly bodyBytes: number;
  /** Longest time between two parts of the body, in milliseconds. */
  readonly idleMs: number;
  readonly onIdle: () => void;
  readonly onTooLarge: () => void;
}

/**
 * Streams a body with backpressure. Calls `onIdle` or `onTooLarge` when a limit
 * is exceeded; a body that is too large also ends with an error.
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
        throw new RangeError('request body exceeds the size limit');
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
 * Reads a whole body into one buffer.
 *
 * @example
 * const body = await bufferBody(request, limits);
 */
export async function bufferBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of streamBody(request, limits)) parts.push(part);
  return parts.length === 1 ? parts[0] : Buffer.concat(parts);
}
