export * from './log.js';
export * from './metrics.js';
export * from './registry.js';
export * from './traceparent.js';
export * from './tracing.js';
