/**
 * The request path: from the caller to the owner and back, with an explicit outcome.
 *
 * @module
 */

export * from './admission.js';
export * from './attempt.js';
export type {GatewayOptions, DaemonIdentity} from './context.js';
export * from './events.js';
export * from './gateway.js';
export {
  signalOf,
  createStop,
  untilStoppedOrTimeout,
  type RequestState,
} from './active-request.js';
export * from './signature.js';
export * from './trace.js';

export * from './opentelemetry.js';
export * from './replay.js';
export * from './server.js';
