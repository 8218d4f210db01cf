import type {IncomingMessage} from 'node:http';

/** Longest body that is kept whole, so that it can be sent again. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * A request's body: whole in memory, or, when it is longer than what is kept, a
 * stream that can be taken once.
 */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'kept'; readonly bytes: Buffer}
  | {readonly kind: 'streamed'; readonly parts: AsyncIterable<Buffer>}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken'; readonly message: string};

/** What is known of a body before it is read. */
export interface BodyShape {
  readonly contentLength?: number;
  readonly chunked: boolean;
}

/**
 * Reads the body of a request, up to the length that is kept. What follows is
 * streamed, no faster than it is taken.
 *
 * @param limitBytes Longest body that is accepted.
 *
 * @example
 * const body = await readBody(request, {chunked: true}, 64 * 1024 * 1024);
 */
export async function readBody(
  request: IncomingMessage,
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
        return {kind: 'streamed', parts: joinParts(parts, rest, limitBytes)};
      }
    }
  } catch (error) {
    return {kind: 'broken', message: (error as Error).message};
  }
  const bytes = parts.length === 1 ? parts[0] : Buffer.concat(parts);
  return {kind: 'kept', bytes};
}

/**
 * Returns the length of a body in bytes as far as it is known: of one that is
 * streamed, what is kept at least.
 *
 * @example
 * lengthOf({kind: 'none'}); // 0
 */
export function lengthOf(body: RequestBody): number {
  if (body.kind === 'kept') return body.bytes.length;
  return body.kind === 'streamed' ? MAX_BUFFERED_BYTES : 0;
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
    if (total > limitBytes) throw new RangeError('body exceeds the limit');
    yield part;
  }
}
