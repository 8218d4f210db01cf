import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  TraceFlags,
  trace,
  type Attributes,
  type Context,
  type Tracer,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  AlwaysOnSampler,
  BatchSpanProcessor,
  InMemorySpanExporter,
  NodeTracerProvider,
  RandomIdGenerator,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-node';
import {
  formatTraceparent,
  parseTraceparent,
  type TraceParent,
} from './traceparent.js';

/** The hops of a request that have a span each. */
export type Hop = 'receive' | 'admit' | 'forward' | 'upstream';

/** How a hop ended. */
export type SpanStatus = 'ok' | 'error';

/** One hop of a request, recorded or not. */
export interface Span {
  /** Header to send on, so that later hops become children of this one. */
  readonly traceparent: string | undefined;
  readonly sampled: boolean;
  /** Ends the span. Later calls have no effect. */
  readonly end: (status: SpanStatus, attributes?: Attributes) => void;
}

/** Records the hops of requests as spans. */
export interface Tracing {
  /**
   * Starts the span of a hop as a child of `traceparent`, or of a new trace
   * when there is none. The sampling decision of a parent is kept.
   */
  readonly startSpan: (
    name: Hop,
    traceparent: string | undefined,
    attributes?: Attributes,
  ) => Span;
  /** Exports what has ended so far. */
  readonly flush: () => Promise<void>;
  /** Exports what has ended and stops. */
  readonly close: () => Promise<void>;
}

/** Settings of `createTracing`. */
export interface TracingOptions {
  /** Instance that the spans are attributed to. */
  readonly instance: string;
  /** Share of new traces to record, from 0 to 1. */
  readonly share: number;
  /** OTLP over HTTP endpoint, such as `http://127.0.0.1:4318/v1/traces`. */
  readonly url?: string;
  /** Takes the spans in place of an OTLP endpoint. */
  readonly exporter?: SpanExporter;
  /** Source of sampling decisions, from 0 up to 1. */
  readonly random?: () => number;
}

/** A span that has ended, as kept by `createSpanMemory`. */
export interface EndedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string | undefined;
  readonly status: SpanStatus | 'unset';
  readonly attributes: Attributes;
  readonly instance: string;
}

/** An exporter that keeps the spans in memory. */
export interface SpanMemory {
  readonly exporter: SpanExporter;
  /** Spans exported so far, in the order in which they ended. */
  readonly spans: () => readonly EndedSpan[];
}

const QUEUED_SPANS_LIMIT = 1024;
const EXPORT_BATCH_SPANS = 256;
const EXPORT_INTERVAL_MS = 1000;
const EXPORT_TIMEOUT_MS = 5000;

const SPAN_KINDS: Readonly<Record<Hop, SpanKind>> = {
  receive: SpanKind.SERVER,
  admit: SpanKind.INTERNAL,
  forward: SpanKind.CLIENT,
  upstream: SpanKind.CLIENT,
};

const STATUS_CODES: Readonly<Record<SpanStatus, SpanStatusCode>> = {
  ok: SpanStatusCode.OK,
  error: SpanStatusCode.ERROR,
};

const noop = () => {};

/**
 * Creates the tracing of one process. Without `url` and `exporter` nothing is
 * recorded and a given `traceparent` is passed on as it is.
 *
 * @throws {RangeError} when the share is not between 0 and 1.
 *
 * @example
 * const tracing = createTracing({
 *   instance: 'rota-display-1', share: 0.01, url: 'http://127.0.0.1:4318/v1/traces'});
 * const receive = tracing.startSpan('receive', request.headers.traceparent);
 * const admit = tracing.startSpan('admit', receive.traceparent);
 * admit.end('ok');
 * receive.end('ok');
 */
export function createTracing(options: TracingOptions): Tracing {
  const {share, random = Math.random} = options;
  if (!(share >= 0 && share <= 1)) {
    throw new RangeError(`share of traces is not from 0 to 1: ${share}`);
  }
  const exporter = options.exporter ?? otlpExporter(options.url);
  if (!exporter) return PASS_THROUGH;
  const provider = createProvider(exporter, options.instance);
  const tracer = provider.getTracer('vanillaspool');
  const ids = new RandomIdGenerator();
  const startTrace = (name: Hop, attributes?: Attributes) => {
    if (random() < share)
      return startRecordedSpan(tracer, ROOT_CONTEXT, name, attributes);
    return unrecordedSpan(share === 0 ? undefined : unsampledParent(ids));
  };
  return {
    startSpan: (name, traceparent, attributes) => {
      if (traceparent === undefined) return startTrace(name, attributes);
      const parent = parseTraceparent(traceparent);
      if (!parent) return startTrace(name, attributes);
      if (!parent.sampled) return unrecordedSpan(traceparent);
      return startRecordedSpan(tracer, contextOf(parent), name, attributes);
    },
    flush: () => provider.forceFlush(),
    close: () => provider.shutdown(),
  };
}

/**
 * Creates an exporter that keeps spans in memory, for tests.
 *
 * @example
 * const memory = createSpanMemory();
 * const tracing = createTracing({instance: 'a', share: 1, exporter: memory.exporter});
 * tracing.startSpan('receive', undefined).end('ok');
 * await tracing.flush();
 * memory.spans()[0].name; // 'receive'
 */
export function createSpanMemory(): SpanMemory {
  const exporter = new InMemorySpanExporter();
  const statusOf = (code: SpanStatusCode) => {
    if (code === SpanStatusCode.OK) return 'ok';
    return code === SpanStatusCode.ERROR ? 'error' : 'unset';
  };
  return {
    exporter,
    spans: () =>
      exporter.getFinishedSpans().map(span => ({
        name: span.name,
        traceId: span.spanContext().traceId,
        spanId: span.spanContext().spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        status: statusOf(span.status.code),
        attributes: span.attributes,
        instance: String(span.resource.attributes['service.instance.id']),
      })),
  };
}

const PASS_THROUGH: Tracing = {
  startSpan: (name, traceparent) => unrecordedSpan(traceparent),
  flush: () => Promise.resolve(),
  close: () => Promise.resolve(),
};

function unrecordedSpan(traceparent: string | undefined): Span {
  return {traceparent, sampled: false, end: noop};
}

// Later hops must see that the trace is not sampled, or each would decide anew.
function unsampledParent(ids: RandomIdGenerator): string {
  const traceId = ids.generateTraceId();
  const spanId = ids.generateSpanId();
  return formatTraceparent({traceId, spanId, sampled: false});
}

function startRecordedSpan(
  tracer: Tracer,
  context: Context,
  name: Hop,
  attributes?: Attributes,
): Span {
  const span = tracer.startSpan(
    name,
    {kind: SPAN_KINDS[name], attributes},
    context,
  );
  const {traceId, spanId} = span.spanContext();
  const traceparent = formatTraceparent({traceId, spanId, sampled: true});
  let ended = false;
  const end = (status: SpanStatus, more?: Attributes) => {
    if (ended) return;
    ended = true;
    if (more) span.setAttributes(more);
    span.setStatus({code: STATUS_CODES[status]});
    span.end();
  };
  return {traceparent, sampled: true, end};
}

function contextOf(parent: TraceParent): Context {
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: parent.traceId,
    spanId: parent.spanId,
    traceFlags: TraceFlags.SAMPLED,
    isRemote: true,
  });
}

function otlpExporter(url: string | undefined): SpanExporter | undefined {
  if (url === undefined) return undefined;
  return new OTLPTraceExporter({url, timeoutMillis: EXPORT_TIMEOUT_MS});
}

function createProvider(
  exporter: SpanExporter,
  instance: string,
): NodeTracerProvider {
  const processor = new BatchSpanProcessor(exporter, {
    maxQueueSize: QUEUED_SPANS_LIMIT,
    maxExportBatchSize: EXPORT_BATCH_SPANS,
    scheduledDelayMillis: EXPORT_INTERVAL_MS,
    exportTimeoutMillis: EXPORT_TIMEOUT_MS,
  });
  return new NodeTracerProvider({
    sampler: new AlwaysOnSampler(),
    spanProcessors: [processor],
    resource: resourceFromAttributes({
      'service.name': 'vanillaspoold',
      'service.instance.id': instance,
    }),
  });
}
