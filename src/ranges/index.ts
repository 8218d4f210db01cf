/**
 * Assignment of the ranges of an ordered key space to upstream instances, of
 * which at most one holds a range at a time.
 *
 * @module
 */

export * from './change.js';
export * from './grants.js';
export * from './calls.js';
export * from './map.js';
export * from './plan.js';
export * from './recover.js';
