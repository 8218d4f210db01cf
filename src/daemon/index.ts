/**
 * Wires the modules into the daemon beside an upstream.
 *
 * @module
 */

export * from './control.js';
export * from './daemon.js';
export * from './events.js';
export * from './explain.js';
export * from './loop.js';
