/**
 * Numbered log events and metrics.
 *
 * @module
 */

export * from './bounded.js';
export * from './log.js';
export * from './metrics.js';
export * from './registry.js';
