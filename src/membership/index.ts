/**
 * Chooses witnesses, coordinators and relays, and maintains the mirror of the
 * platform objects.
 *
 * @module
 */

export * from './choose.js';
export * from './mirror.js';
