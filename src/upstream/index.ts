/**
 * HTTP client side of the proxy: connection pools, exchange of one request and
 * response with an upstream or another daemon, and the rate limit and leaving flag
 * that an upstream reports in its responses.
 *
 * @module
 */

export * from './head.js';
export * from './exchange.js';
export * from './upstream.js';
export * from './limit.js';
export * from './message.js';
export * from './pools.js';
export * from './statement.js';
export * from './tracker.js';
