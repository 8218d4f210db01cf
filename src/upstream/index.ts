/**
 * Exchanges one request and its answer with an upstream or another daemon.
 *
 * @module
 */

export * from './answer.js';
export * from './exchange.js';
export * from './info.js';
export * from './limit.js';
export * from './pools.js';
export * from './statement.js';
export * from './statements.js';
