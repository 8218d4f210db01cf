export * from './admission.js';
export type {GatewayOptions, Self} from './context.js';
export * from './events.js';
export * from './gateway.js';
export * from './signature.js';
export * from './trace.js';

export * from './otel.js';
export * from './replay.js';
export * from './server.js';
