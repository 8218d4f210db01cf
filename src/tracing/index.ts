/**
 * Spans for the hops of a request, exported by OTLP.
 *
 * @module
 */

export * from './traceparent.js';
export * from './tracing.js';
