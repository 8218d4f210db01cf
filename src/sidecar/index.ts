/**
 * The daemon beside one upstream instance of a fleet that keeps its state in the
 * store.
 *
 * @module
 */

export * from './ask.js';
export * from './called.js';
export * from './delivery.js';
export * from './events.js';
export * from './fetched.js';
export * from './heartbeat.js';
export * from './hold.js';
export * from './keeper.js';
export * from './metrics.js';
export * from './planner.js';
export * from './servers.js';
export * from './settings.js';
export * from './sidecar.js';
export * from './statements.js';
