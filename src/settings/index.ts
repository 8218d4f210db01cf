/**
 * Reads and checks daemon settings and service declarations, and decides which configuration is accepted.
 *
 * @module
 */

export * from './accept.js';
export * from './configuration.js';
export * from './daemon.js';
export {DEFAULT_LIMITS} from './declaration.js';
export * from './difference.js';
export * from './finding.js';
export * from './inforce.js';
export * from './merge.js';
export * from './schema.js';
export * from './stored.js';
export * from './suggest.js';
export * from './tree.js';
