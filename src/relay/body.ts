import {digestOf} from '../quarantine/index.js';
import type {ReceivedRequest} from '../upstream/index.js';

/** Longest body that is buffered in memory, so that it can be sent again. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Body of a request: buffered in memory or, when it is longer than the buffer
 * limit, a stream that can be consumed once.
 */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'buffered'; readonly bytes: Buffer}
  | {
      readonly kind: 'streamed';
      readonly parts: AsyncIterable<Buffer>;
      /** Digest of the part that fits into the buffer. */
      readonly digest: string;
    }
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken'; readonly message: string};

/** Length and encoding of a body, as its headers state them. */
export interface BodyShape {
  readonly contentLength?: number;
  readonly chunked: boolean;
}

/**
 * Reads the body of a request into memory, up to the buffer limit. A longer
 * body is streamed with backpressure.
 *
 * @param limitBytes Length of the longest accepted body.
 *
 * @example
 * const body = await readBody(request, {chunked: true}, 64 * 1024 * 1024);
 */
export async function readBody(
  request: Pick<ReceivedRequest, 'iterator'>,
  shape: BodyShape,
  limitBytes: number,
): Promise<RequestBody> {
  if (!shape.chunked && !shape.contentLength) return {kind: 'none'};
  if ((shape.contentLength ?? 0) > limitBytes) return {kind: 'too-large'};
  const parts: Buffer[] = [];
  let total = 0;
  const iterator = request.iterator({destroyOnReturn: false});
  try {
    for (;;) {
      const step = (await iterator.next()) as IteratorResult<Buffer, void>;
      if (step.done) break;
      parts.push(step.value);
      total += step.value.length;
      if (total > limitBytes) return {kind: 'too-large'};
      if (total > MAX_BUFFERED_BYTES) {
        const rest = {[Symbol.asyncIterator]: () => iterator};
        const digest = digestOf(
          Buffer.concat(parts).subarray(0, MAX_BUFFERED_BYTES),
        );
        const all = joinParts(parts, rest, limitBytes);
        return {kind: 'streamed', parts: all, digest};
      }
    }
  } catch (error) {
    return {kind: 'broken', message: (error as Error).message};
  }
  const bytes = parts.length === 1 ? parts[0] : Buffer.concat(parts);
  return {kind: 'buffered', bytes};
}

/**
 * Returns the known length of a body in bytes; of a streamed body, the buffer
 * limit as a lower bound.
 *
 * @example
 * lengthOf({kind: 'none'}); // 0
 */
export function lengthOf(body: RequestBody): number {
  if (body.kind === 'buffered') return body.bytes.length;
  return body.kind === 'streamed' ? MAX_BUFFERED_BYTES : 0;
}

/**
 * Returns the digest of a body; of a streamed body, that of its first
 * mebibyte. '' without a body.
 *
 * @example
 * bodyDigestOf({kind: 'none'}); // ''
 */
export function bodyDigestOf(body: RequestBody): string {
  if (body.kind === 'buffered') return digestOf(body.bytes);
  return body.kind === 'streamed' ? `long ${body.digest}` : '';
}

async function* joinParts(
  first: readonly Buffer[],
  rest: AsyncIterable<Buffer>,
  limitBytes: number,
): AsyncGenerator<Buffer> {
  let total = 0;
  for (const part of first) {
    total += part.length;
    yield part;
  }
  for await (const part of rest) {
    total += part.length;
    if (total > limitBytes)
      throw new RangeError('request body is longer than the configured limit');
    yield part;
  }
}
