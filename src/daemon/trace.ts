import {passThroughTrace} from '../gateway/index.js';
import type {SpanName, SpanFields, Trace} from '../gateway/index.js';
import type {Settings} from '../settings/index.js';
import type {Hop, Tracing} from '../tracing/index.js';

/** The trace of a daemon and how to end its export. */
export interface DaemonTrace {
  readonly trace: Trace;
  readonly close: () => Promise<void>;
}

const TRACED_HOPS: Readonly<Record<SpanName, Hop>> = {
  entry: 'receive',
  owner: 'receive',
  forward: 'forward',
  old: 'forward',
  upstream: 'upstream',
};

/**
 * Creates the trace of a daemon: without an export in the settings, trace
 * context is passed on, nothing is recorded, and the library that records is
 * not loaded, which spares start-up time and memory.
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
