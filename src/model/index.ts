/**
 * Types and pure functions shared by all modules: members, leases, terms,
 * configuration, keys, routes and failures.
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
export * from './parser-error.js';
export * from './route.js';
export * from './status.js';
export * from './term.js';
