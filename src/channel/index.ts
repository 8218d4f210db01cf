/**
 * Channels between daemons: connections that carry many requests at a time.
 *
 * @module
 */

export * from './client.js';
export * from './frame.js';
export * from './server.js';
