import {
  ROOT_CONTEXT,
  SpanStatusCode,
  TraceFlags,
  isSpanContextValid,
  trace as api,
  type Context,
  type SpanContext,
  type Tracer,
} from '@opentelemetry/api';
import {passThroughTrace, type SpanFields, type Trace} from './trace.js';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/**
 * Creates a trace that records spans with OpenTelemetry. Whether a trace is
 * sampled is for the tracer's sampler to say; a caller's choice reaches it with
 * the trace context.
 *
 * @example
 * const trace = tracerTrace(provider.getTracer('vanillaspool'));
 */
export function openTelemetryTrace(tracer: Tracer): Trace {
  const passThrough = passThroughTrace();
  return {
    start: (name, parent, fields) => {
      const span = tracer.startSpan(
        name,
        {attributes: fields},
        parentContext(parent),
      );
      const own = span.spanContext();
      if (!isSpanContextValid(own))
        return passThrough.start(name, parent, fields);
      return {
        traceparent: formatTraceparent(own),
        end: ended => {
          if (ended && span.isRecording()) setEndFields(span, ended);
          span.end();
        },
      };
    },
  };
}

function parentContext(parent: string | undefined): Context {
  const parts = parent === undefined ? null : TRACEPARENT.exec(parent);
  if (!parts) return ROOT_CONTEXT;
  const [, traceId, spanId, flags] = parts;
  const traceFlags = parseInt(flags, 16) & TraceFlags.SAMPLED;
  const context = {traceId, spanId, traceFlags, isRemote: true};
  return api.setSpanContext(ROOT_CONTEXT, context);
}

function formatTraceparent(context: SpanContext): string {
  const flags = context.traceFlags.toString(16).padStart(2, '0');
  return `00-${context.traceId}-${context.spanId}-${flags}`;
}

function setEndFields(
  span: ReturnType<Tracer['startSpan']>,
  fields: SpanFields,
): void {
  span.setAttributes(fields);
  if (fields.reason) span.setStatus({code: SpanStatusCode.ERROR});
}
