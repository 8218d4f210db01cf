/**
 * A daemon's view of the fleet: registrations of instances and range maps.
 *
 * @module
 */

export * from './watch.js';
export * from './member.js';
export * from './view.js';
