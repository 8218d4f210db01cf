/**
 * An ordered key space whose ranges are held by one upstream at a time.
 *
 * @module
 */

export * from './change.js';
export * from './grants.js';
export * from './calls.js';
export * from './map.js';
export * from './plan.js';
