/**
 * The request path: from the caller to the owner and back, with an explicit outcome.
 *
 * @module
 */

export * from './admission.js';
export * from './attempt.js';
export type {GatewayOptions, Self} from './context.js';
export * from './events.js';
export * from './gateway.js';
export {signalOf, stopper, untilStoppedOrTime, type PassState} from './pass.js';
export * from './signature.js';
export * from './trace.js';

export * from './otel.js';
export * from './replay.js';
export * from './server.js';
