/**
 * Client of the platform's object API: conditional writes, watches, budget and counts of calls.
 *
 * @module
 */

export * from './budget.js';
export * from './client.js';
export * from './counts.js';
export * from './errors.js';
export * from './exchange.js';
export * from './revision.js';
export * from './keys.js';
export * from './store.js';
export * from './put.js';
export * from './update.js';
