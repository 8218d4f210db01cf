/**
 * Gives the slots of the upstream to requests by priority, deadline and caller.
 *
 * @module
 */

export * from './admission.js';
export * from './bucket.js';
export * from './budget.js';
export * from './decide.js';
export {
  meanMs,
  recordDuration,
  meanDeviationMs,
  type Estimate,
} from './estimate.js';
export * from './events.js';
export * from './metrics.js';
export * from './schedule.js';
export * from './state.js';
export * from './verdict.js';
