/**
 * Exchanges one request and its answer with an upstream or another daemon.
 *
 * @module
 */

export * from './head.js';
export * from './exchange.js';
export * from './upstream.js';
export * from './limit.js';
export * from './pools.js';
export * from './statement.js';
export * from './tracker.js';
