/**
 * What a daemon knows of the other instances: registrations and range maps.
 *
 * @module
 */

export * from './watch.js';
export * from './member.js';
export * from './view.js';
