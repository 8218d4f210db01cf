import {passThroughTrace} from '../gateway/index.js';
import type {SpanName, SpanFields, Trace} from '../gateway/index.js';
import type {Settings} from '../settings/index.js';
import type {Hop, Tracing} from '../tracing/index.js';

/** The trace of a daemon and the function that closes its export. */
export interface DaemonTrace {
  readonly trace: Trace;
  readonly close: () => Promise<void>;
}

/** Hop kinds of the recorded spans, by the names that the gateway uses. */
const TRACED_HOPS: Readonly<Record<SpanName, Hop>> = {
  entry: 'receive',
  owner: 'receive',
  forward: 'forward',
  old: 'forward',
  upstream: 'upstream',
};

/**
 * Creates the trace of a daemon. Without an export in the settings, trace
 * context is propagated but not recorded, and the tracing library is not
 * loaded, which saves start-up time and memory.
 *
 * @example
 * const {trace, close} = await createTrace(settings);
 */
export async function createTrace(settings: Settings): Promise<DaemonTrace> {
  if (!settings.trace)
    return {trace: passThroughTrace(), close: async () => {}};
  const {otlp, share} = settings.trace;
  const {instance} = settings;
  const {createTracing} = await import('../tracing/index.js');
  const tracing = createTracing({instance, share, url: otlp});
  return {trace: createRecordedTrace(tracing), close: tracing.close};
}

/**
 * Creates a trace that records spans; unsampled requests keep their trace
 * context.
 */
function createRecordedTrace(tracing: Tracing): Trace {
  const passThrough = passThroughTrace();
  return {
    start: (name, parent, fields) => {
      const attributes = {...fields, hop: name};
      const span = tracing.startSpan(TRACED_HOPS[name], parent, attributes);
      const traceparent =
        span.traceparent ?? passThrough.start(name, parent, fields).traceparent;
      return {
        traceparent,
        end: (ended?: SpanFields) =>
          span.end(ended?.reason ? 'error' : 'ok', ended),
      };
    },
  };
}
