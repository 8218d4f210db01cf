import type {EventKind} from '../telemetry/index.js';

/** Events of the daemon as a whole. */
export const DAEMON_EVENTS = {
  started: {number: 1000, level: 'info', message: 'daemon started'},
  stopping: {number: 1001, level: 'info', message: 'shutdown requested'},
  shutdownForced: {number: 1002, level: 'warn', message: 'shutdown hurried'},
  stopped: {number: 1003, level: 'info', message: 'daemon stopped'},
  addressInUse: {number: 1004, level: 'error', message: 'address is in use'},
  settingsRejected: {
    number: 1005,
    level: 'error',
    message: 'settings are rejected',
  },
  failed: {number: 1006, level: 'error', message: 'daemon failed'},
  replaced: {
    number: 1007,
    level: 'error',
    message: 'another process registered this instance',
  },
  upstreamAnnounced: {
    number: 1010,
    level: 'info',
    message: 'upstream announced itself',
  },
  upstreamLost: {
    number: 1011,
    level: 'warn',
    message: 'upstream does not answer',
  },
  upstreamRecovered: {
    number: 1012,
    level: 'info',
    message: 'upstream answers again',
  },
  upstreamLeaving: {
    number: 1013,
    level: 'info',
    message: 'upstream says that it is leaving',
  },
  rateLimitSet: {
    number: 1014,
    level: 'info',
    message: 'upstream names a limit of requests a second',
  },
  rateLimitRemoved: {
    number: 1015,
    level: 'info',
    message: 'upstream names no limit any more',
  },
  headerMalformed: {
    number: 1016,
    level: 'warn',
    message: 'upstream states something of itself that can not be read',
  },
  platformLost: {
    number: 1020,
    level: 'warn',
    message: 'platform can not be reached',
  },
  platformRecovered: {
    number: 1021,
    level: 'info',
    message: 'platform can be reached again',
  },
  configurationInForce: {
    number: 1030,
    level: 'info',
    message: 'configuration in force',
  },
  configurationIgnored: {
    number: 1031,
    level: 'warn',
    message: 'configuration has no part for this site',
  },
  objectMalformed: {
    number: 1032,
    level: 'error',
    message: 'object of the platform is malformed',
  },
  feedChanged: {
    number: 1033,
    level: 'debug',
    message: 'source of platform objects changed',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
