/**
 * Chooses witnesses, stewards and relays, and keeps the mirror of the platform objects.
 *
 * @module
 */

export * from './choose.js';
export * from './mirror.js';
