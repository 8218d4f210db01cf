import {randomBytes} from 'node:crypto';

/** Name of the span of one step of the request path. */
export type SpanName = 'entry' | 'owner' | 'forward' | 'upstream' | 'old';

/** Attributes of a span. */
export type SpanFields = Readonly<Record<string, string | number | undefined>>;

/** A running span. */
export interface Span {
  /** W3C trace context to send with the request. */
  readonly traceparent: string;
  readonly end: (fields?: SpanFields) => void;
}

/** Starts spans, each as a child of the given trace context. */
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
 * Creates a trace that records nothing. It forwards the caller's trace context,
 * or starts an unsampled one if the caller sent none that is valid.
 *
 * @example
 * passThroughTrace().start('entry', undefined, {}).traceparent; // ends with '-00'
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
