/**
 * The daemon beside one upstream instance of a fleet that keeps its state in the
 * store.
 *
 * @module
 */

export * from './ask.js';
export * from './events.js';
export * from './heartbeat.js';
export * from './keeper.js';
export * from './metrics.js';
export * from './planner.js';
export * from './servers.js';
export * from './settings.js';
export * from './sidecar.js';
