/**
 * Numbered log events and metrics.
 *
 * @module
 */

export * from './log.js';
export * from './metrics.js';
export * from './registry.js';
