/**
 * Decides who owns a slice: leases, witnesses, takeovers, terms and grants, as pure functions.
 *
 * @module
 */

export * from './decide.js';
export * from './events.js';
export * from './grant.js';
export * from './holder.js';
export * from './messages.js';
export * from './route.js';
export * from './settings.js';
export * from './state.js';
export * from './terms.js';
export * from './view.js';
