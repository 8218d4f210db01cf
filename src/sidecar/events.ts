import type {EventKind} from '../telemetry/index.js';

/** Log events of a daemon on a fleet of instances with daemons. */
export const SIDECAR_EVENTS = {
  started: {number: 6001, level: 'info', message: 'daemon started'},
  stopping: {number: 6002, level: 'info', message: 'daemon is stopping'},
  stopped: {number: 6003, level: 'info', message: 'daemon stopped'},
  reloaded: {number: 6004, level: 'info', message: 'settings read again'},
  settingsRejected: {
    number: 6005,
    level: 'error',
    message: 'settings refused; the last good ones stay in force',
  },
  storeUnreachable: {number: 6010, level: 'warn', message: 'store lost'},
  storeReachable: {number: 6011, level: 'info', message: 'store reached'},
  objectMalformed: {
    number: 6012,
    level: 'error',
    message: 'object of the store is malformed and passed over',
  },
  writeFailed: {
    number: 6013,
    level: 'warn',
    message: 'write to the store failed and is tried again',
  },
  configurationApplied: {
    number: 6020,
    level: 'info',
    message: 'configuration in force',
  },
  configurationRejected: {
    number: 6021,
    level: 'error',
    message: 'configuration refused; the last good one stays in force',
  },
  configurationPartial: {
    number: 6022,
    level: 'error',
    message: 'configuration in force holds values that can not be read',
  },
  instanceStarted: {
    number: 6030,
    level: 'info',
    message: 'instance heard for the first time',
  },
  instanceLeaving: {
    number: 6031,
    level: 'info',
    message: 'instance is leaving',
  },
  heartbeatStale: {
    number: 6032,
    level: 'warn',
    message: 'heartbeat of an earlier life or time passed over',
  },
  heartbeatMalformed: {
    number: 6033,
    level: 'warn',
    message: 'heartbeat can not be read and is refused',
  },
  instanceSilent: {
    number: 6034,
    level: 'warn',
    message: 'instance sends no heartbeats',
  },
  instanceRecovered: {
    number: 6035,
    level: 'info',
    message: 'instance sends heartbeats again',
  },
  registered: {number: 6036, level: 'info', message: 'registration written'},
  instanceRestored: {
    number: 6037,
    level: 'info',
    message: 'instance taken up from its record',
  },
  limitChanged: {
    number: 6038,
    level: 'info',
    message: 'instance names a limit of requests a second',
  },
  limitRemoved: {
    number: 6039,
    level: 'info',
    message: 'instance names no limit any more',
  },
  statementMalformed: {
    number: 6048,
    level: 'warn',
    message: 'instance states something of itself that can not be read',
  },
  grantsChanged: {number: 6040, level: 'info', message: 'granted keys changed'},
  mapReadFailed: {
    number: 6041,
    level: 'warn',
    message: 'grant not renewed; the store did not confirm it',
  },
  mapChanged: {number: 6042, level: 'info', message: 'range map written'},
  memberLost: {
    number: 6043,
    level: 'warn',
    message: 'instance taken to be lost; its keys are revoked',
  },
  grantFailed: {
    number: 6044,
    level: 'warn',
    message: 'call that grants keys was not carried out or not answered',
  },
  keysReleased: {number: 6045, level: 'info', message: 'keys released'},
  releaseUnanswered: {
    number: 6046,
    level: 'warn',
    message: 'call to release keys was not answered',
  },
  keyNotHeld: {
    number: 6047,
    level: 'warn',
    message: 'instance does not hold keys that it was granted',
  },
  taskFailed: {
    number: 6050,
    level: 'error',
    message: 'unexpected error in a background task',
  },
  linesDropped: {
    number: 6051,
    level: 'warn',
    message: 'log lines left out to bound the volume',
  },
  loopDelayed: {
    number: 6052,
    level: 'warn',
    message: 'event loop was busy for long',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
