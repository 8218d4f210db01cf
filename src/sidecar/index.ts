/**
 * The daemon that runs next to one upstream instance, in a fleet whose state is
 * kept in the store.
 *
 * @module
 */

export * from './activeconfiguration.js';
export * from './probe.js';
export {QUARANTINE_PATH} from './broadcast.js';
export * from './calldelivery.js';
export * from './crash.js';
export * from './delivery.js';
export * from './events.js';
export * from './heartbeatdelivery.js';
export * from './heartbeat.js';
export * from './lease.js';
export * from './instancemanager.js';
export * from './metrics.js';
export * from './planner.js';
export {RELEASE_PATH, type QuarantineList} from './quarantineapi.js';
export * from './servers.js';
export * from './settings.js';
export * from './sidecar.js';
export * from './statements.js';
