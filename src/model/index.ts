/**
 * Types and plain functions that all modules share: members, terms, configuration, keys, routes.
 *
 * @module
 */

export * from './address.js';
export * from './chart.js';
export * from './configuration.js';
export * from './failure.js';
export * from './key.js';
export * from './member.js';
export * from './outcome.js';
export * from './parse-address.js';
export * from './route.js';
export * from './status.js';
export * from './term.js';
