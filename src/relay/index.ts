/**
 * Request path of the sidecar deployment, in which a daemon runs beside each
 * instance: accepts requests of callers, forwards them to the daemon of the
 * chosen instance, and runs forwarded requests at the local instance.
 *
 * @module
 */

export * from './body.js';
export * from './choose.js';
export * from './configuration.js';
export * from './dialect.js';
export * from './durations.js';
export * from './ingress.js';
export * from './routed.js';
export * from './estimate.js';
export * from './events.js';
export * from './forward.js';
export * from './notices.js';
export * from './holder.js';
export * from './hop.js';
export * from './intake.js';
export * from './lengths.js';
export * from './load.js';
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
export * from './transit.js';
export * from './usage.js';
export * from './work.js';
