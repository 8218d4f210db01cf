/**
 * Resolves the service, the key and the handover side of a request, and chooses
 * between instances by observed load.
 *
 * @module
 */

export * from './handover.js';
export * from './key.js';
export * from './service.js';
export * from './load.js';
