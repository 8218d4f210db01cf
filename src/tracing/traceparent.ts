/** The fields of a W3C `traceparent` header. */
export interface TraceParent {
  /** 32 lower-case hexadecimal digits. */
  readonly traceId: string;
  /** 16 lower-case hexadecimal digits. */
  readonly spanId: string;
  readonly sampled: boolean;
}

const TRACEPARENT =
  /^(?!ff)([0-9a-f]{2})-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
const SAMPLED_FLAG = 1;

/**
 * Reads a `traceparent` header. A malformed one yields undefined, so that a
 * new trace is begun in its place, as the W3C recommendation asks.
 *
 * @example
 * parseTraceparent('00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01')?.sampled; // true
 */
export function parseTraceparent(text: string): TraceParent | undefined {
  const match = TRACEPARENT.exec(text);
  if (!match) return undefined;
  const [, version, traceId, spanId, flags, rest] = match;
  if (version === '00' && rest !== undefined) return undefined;
  const sampled = (parseInt(flags, 16) & SAMPLED_FLAG) !== 0;
  return {traceId, spanId, sampled};
}

/**
 * Formats a `traceparent` header of version 00.
 *
 * @example
 * formatTraceparent({traceId: 'a'.repeat(32), spanId: 'b'.repeat(16), sampled: false});
 */
export function formatTraceparent(parent: TraceParent): string {
  const flags = parent.sampled ? '01' : '00';
  return `00-${parent.traceId}-${parent.spanId}-${flags}`;
}
