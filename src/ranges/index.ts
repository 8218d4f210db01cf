/**
 * An ordered key space whose ranges are held by one upstream at a time.
 *
 * @module
 */

export * from './change.js';
export * from './holder.js';
export * from './ledger.js';
export * from './map.js';
export * from './plan.js';
