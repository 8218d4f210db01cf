/**
 * Client of the platform's object API: conditional writes, watches, a rate limit
 * on calls and call counts.
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
export * from './version.js';
