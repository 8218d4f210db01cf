/**
 * Finds the service, the key and the side of a handover that a request belongs to.
 *
 * @module
 */

export * from './handover.js';
export * from './key.js';
export * from './service.js';
export * from './load.js';
