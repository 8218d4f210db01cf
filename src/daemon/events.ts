import type {EventKind} from '../telemetry/index.js';

/** Log events of the daemon, its upstream, platform and configuration. */
export const DAEMON_EVENTS = {
  started: {number: 1000, level: 'info', message: 'daemon started'},
  stopping: {number: 1001, level: 'info', message: 'shutdown requested'},
  shutdownForced: {
    number: 1002,
    level: 'warn',
    message: 'shutdown forced before draining finished',
  },
  stopped: {number: 1003, level: 'info', message: 'daemon stopped'},
  addressInUse: {
    number: 1004,
    level: 'error',
    message: 'listen address already in use',
  },
  settingsRejected: {
    number: 1005,
    level: 'error',
    message: 'settings are invalid or unreadable; daemon not started',
  },
  failed: {number: 1006, level: 'error', message: 'daemon failed'},
  replaced: {
    number: 1007,
    level: 'error',
    message: 'instance was registered by another process; stopping',
  },
  upstreamAnnounced: {
    number: 1010,
    level: 'info',
    message: 'upstream announced',
  },
  upstreamLost: {
    number: 1011,
    level: 'warn',
    message: 'upstream failed its health checks',
  },
  upstreamRecovered: {
    number: 1012,
    level: 'info',
    message: 'upstream health check succeeded; upstream available again',
  },
  upstreamLeaving: {
    number: 1013,
    level: 'info',
    message: 'upstream is shutting down',
  },
  rateLimitSet: {
    number: 1014,
    level: 'info',
    message: 'upstream set a rate limit',
  },
  rateLimitRemoved: {
    number: 1015,
    level: 'info',
    message: 'upstream removed its rate limit',
  },
  headerMalformed: {
    number: 1016,
    level: 'warn',
    message: 'response header of the upstream malformed; value ignored',
  },
  platformLost: {
    number: 1020,
    level: 'warn',
    message: 'platform unreachable',
  },
  platformRecovered: {
    number: 1021,
    level: 'info',
    message: 'platform reachable again',
  },
  configurationInForce: {
    number: 1030,
    level: 'info',
    message: 'configuration applied',
  },
  configurationIgnored: {
    number: 1031,
    level: 'warn',
    message: 'configuration does not cover this site',
  },
  objectMalformed: {
    number: 1032,
    level: 'error',
    message: 'platform object malformed; ignored',
  },
  feedChanged: {
    number: 1033,
    level: 'debug',
    message: 'switched source of platform objects',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
