/**
 * The request path on a fleet where each instance has a daemon beside it.
 *
 * @module
 */

export * from './body.js';
export * from './choose.js';
export * from './configuration.js';
export * from './dialect.js';
export * from './ingress.js';
export * from './events.js';
export * from './forward.js';
export * from './notices.js';
export * from './holder.js';
export * from './hop.js';
export * from './intake.js';
export * from './lengths.js';
export * from './offer.js';
export * from './local.js';

export * from './forwarded.js';
export * from './overload.js';
export * from './queue.js';
export * from './retries.js';
export * from './detector.js';
export * from './slots.js';
export * from './split.js';
export * from './transfers.js';
export * from './work.js';
