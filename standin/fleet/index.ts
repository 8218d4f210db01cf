/**
 * Stand-ins for the platform's metadata store and upstream instances.
 *
 * @module
 */

export * from './instance.js';
export * from './store.js';
