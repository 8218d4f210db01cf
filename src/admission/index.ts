export * from './admission.js';
export * from './budget.js';
export * from './decide.js';
export * from './events.js';
export * from './metrics.js';
export * from './state.js';
export * from './verdict.js';
