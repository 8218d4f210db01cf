/**
 * Spans for the hops of a request, exported over OTLP.
 *
 * @module
 */

export * from './traceparent.js';
export * from './tracing.js';
