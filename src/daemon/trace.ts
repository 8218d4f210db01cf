import {passTrace} from '../gateway/index.js';
import type {HopName, SpanFields, Trace} from '../gateway/index.js';
import type {Settings} from '../settings/index.js';
import {createTracing} from '../telemetry/index.js';
import type {Hop, Tracing} from '../telemetry/index.js';

/** The trace of a daemon and how to end its export. */
export interface DaemonTrace {
  readonly trace: Trace;
  readonly close: () => Promise<void>;
}

const HOPS: Readonly<Record<HopName, Hop>> = {
  entry: 'receive',
  owner: 'receive',
  forward: 'forward',
  old: 'forward',
  upstream: 'upstream',
};

/**
 * Creates the trace of a daemon: without an export in the settings, trace
 * context is passed on and nothing is recorded.
 *
 * @example
 * const {trace, close} = createTrace(settings);
 */
export function createTrace(settings: Settings): DaemonTrace {
  if (!settings.trace) return {trace: passTrace(), close: async () => {}};
  const {otlp, share} = settings.trace;
  const {instance} = settings;
  const tracing = createTracing({instance, share, url: otlp});
  return {trace: recordedTrace(tracing), close: tracing.close};
}

function recordedTrace(tracing: Tracing): Trace {
  const untraced = passTrace();
  return {
    start: (name, parent, fields) => {
      const attributes = {...fields, hop: name};
      const span = tracing.startSpan(HOPS[name], parent, attributes);
      const traceparent =
        span.traceparent ?? untraced.start(name, parent, fields).traceparent;
      return {
        traceparent,
        end: (ended?: SpanFields) =>
          span.end(ended?.reason ? 'error' : 'ok', ended),
      };
    },
  };
}
