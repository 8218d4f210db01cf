import {randomBytes} from 'node:crypto';

/** A part of a request's path that a trace shows as a span. */
export type SpanName = 'entry' | 'owner' | 'forward' | 'upstream' | 'old';

/** Values that describe a span. */
export type SpanFields = Readonly<Record<string, string | number | undefined>>;

/** A running span. */
export interface Span {
  /** W3C trace context to pass on with the request. */
  readonly traceparent: string;
  readonly end: (fields?: SpanFields) => void;
}

/** Starts spans, each within the trace context that it is given. */
export interface Trace {
  readonly start: (
    name: SpanName,
    parent: string | undefined,
    fields: SpanFields,
  ) => Span;
}

const TRACEPARENT = /^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$/;

const NO_OP = () => {};

/**
 * Creates a trace that records nothing: it passes the caller's trace context
 * on, or starts one that is not sampled.
 *
 * @example
 * passTrace().start('entry', undefined, {}).traceparent; // ends with '-00'
 */
export function passThroughTrace(): Trace {
  const prefix = randomBytes(8).toString('hex');
  let counter = 0;
  return {
    start: (_name, parent) => {
      if (parent !== undefined && TRACEPARENT.test(parent)) {
        return {traceparent: parent, end: NO_OP};
      }
      counter += 1;
      const id = counter.toString(16).padStart(16, '0');
      return {traceparent: `00-${prefix}${id}-${id}-00`, end: NO_OP};
    },
  };
}
