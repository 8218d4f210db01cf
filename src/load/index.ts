/**
 * Generates load, verifies the answers and summarises the results.
 *
 * @module
 */

export * from './answer.js';
export * from './caller.js';
export * from './hints.js';
export * from './kind.js';
export * from './options.js';
export * from './plan.js';
export * from './random.js';
export * from './run.js';
export * from './sender.js';
export * from './tally.js';
export * from './zipf.js';
