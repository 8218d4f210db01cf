/**
 * Plans which instances own the slices of a service and stand to succeed.
 *
 * @module
 */

export * from './assign.js';
export * from './chain.js';
export * from './chunk.js';
export * from './hotness.js';
export * from './hosts.js';
export * from './hotkeys.js';
export * from './layout.js';
export * from './load.js';
export * from './moves.js';
export * from './pool.js';
export * from './rank.js';
export * from './sketch.js';
export * from './successors.js';
