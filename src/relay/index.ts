/**
 * The request path on a fleet where each instance has a daemon beside it.
 *
 * @module
 */

export * from './body.js';
export * from './choose.js';
export * from './configuration.js';
export * from './dialect.js';
export * from './entry.js';
export * from './events.js';
export * from './forward.js';
export * from './heard.js';
export * from './holder.js';
export * from './hop.js';
export * from './intake.js';
export * from './lengths.js';
export * from './offer.js';
export * from './owner.js';

export * from './peers.js';
export * from './pressure.js';
export * from './queue.js';
export * from './returns.js';
export * from './silence.js';
export * from './slots.js';
export * from './split.js';
export * from './transfers.js';
export * from './work.js';
