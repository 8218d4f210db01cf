export * from './traceparent.js';
export * from './tracing.js';
