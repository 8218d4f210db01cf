/**
 * The daemon: connects the modules into the router process that runs next to an
 * upstream.
 *
 * @module
 */

export * from './control.js';
export * from './daemon.js';
export * from './events.js';
export * from './explain.js';
export * from './loop.js';
