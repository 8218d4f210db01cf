/**
 * Protocol between daemons: signed datagrams and streams of platform objects.
 *
 * @module
 */

export * from './codec.js';
export * from './datagrams.js';
export * from './follow.js';
export * from './signing.js';
export * from './window.js';
