import type {EventKind} from '../telemetry/index.js';

/** Log events of a daemon that runs next to an instance. */
export const SIDECAR_EVENTS = {
  started: {number: 6001, level: 'info', message: 'daemon started'},
  stopping: {number: 6002, level: 'info', message: 'daemon is shutting down'},
  stopped: {number: 6003, level: 'info', message: 'daemon stopped'},
  reloaded: {number: 6004, level: 'info', message: 'settings reloaded'},
  settingsRejected: {
    number: 6005,
    level: 'error',
    message: 'settings are invalid; keeping the last valid settings',
  },
  storeUnreachable: {
    number: 6010,
    level: 'warn',
    message: 'store is unreachable',
  },
  storeReachable: {
    number: 6011,
    level: 'info',
    message: 'store is reachable again',
  },
  objectMalformed: {
    number: 6012,
    level: 'error',
    message: 'object in the store is malformed; ignoring it',
  },
  writeFailed: {
    number: 6013,
    level: 'warn',
    message: 'write to the store failed; it will be retried',
  },
  configurationApplied: {
    number: 6020,
    level: 'info',
    message: 'configuration applied',
  },
  configurationRejected: {
    number: 6021,
    level: 'error',
    message: 'configuration rejected; keeping the last valid configuration',
  },
  configurationPartial: {
    number: 6022,
    level: 'error',
    message:
      'configuration applied, except for values that could not be parsed',
  },
  instanceStarted: {
    number: 6030,
    level: 'info',
    message: 'first heartbeat of an instance incarnation',
  },
  instanceLeaving: {
    number: 6031,
    level: 'info',
    message: 'instance announced its shutdown',
  },
  heartbeatStale: {
    number: 6032,
    level: 'warn',
    message:
      'heartbeat of an earlier incarnation or out of sequence; ignoring it',
  },
  instanceSucceeded: {
    number: 6059,
    level: 'warn',
    message:
      'instance replaces one that started later by its clock and has ended; the clock of its machine was set back',
  },
  heartbeatMalformed: {
    number: 6033,
    level: 'warn',
    message: 'malformed heartbeat or departure rejected',
  },
  heartbeatForeign: {
    number: 6060,
    level: 'warn',
    message:
      'heartbeat names another service or address than the settings; ignoring it',
  },
  departureStale: {
    number: 6065,
    level: 'warn',
    message: 'departure of another incarnation; ignoring it',
  },
  instanceSilent: {
    number: 6034,
    level: 'warn',
    message: 'instance missed its heartbeats',
  },
  instanceRecovered: {
    number: 6035,
    level: 'info',
    message: 'instance sends heartbeats again',
  },
  registered: {
    number: 6036,
    level: 'info',
    message: 'registration written to the store',
  },
  instanceRestored: {
    number: 6037,
    level: 'info',
    message: 'instance restored from its registration in the store',
  },
  limitChanged: {
    number: 6038,
    level: 'info',
    message: 'instance announced a rate limit',
  },
  limitRemoved: {
    number: 6039,
    level: 'info',
    message: 'instance no longer has a rate limit',
  },
  statementMalformed: {
    number: 6048,
    level: 'warn',
    message: 'statement in a response of the instance could not be parsed',
  },
  grantsChanged: {
    number: 6040,
    level: 'info',
    message: 'keys granted to the instance changed',
  },
  grantWithheld: {
    number: 6056,
    level: 'info',
    message:
      'heartbeat answered without keys: a later one has arrived, or it took too long',
  },
  mapReadFailed: {
    number: 6041,
    level: 'warn',
    message: 'range map could not be read from the store',
  },
  mapChanged: {number: 6042, level: 'info', message: 'range map written'},
  mapRecovered: {
    number: 6061,
    level: 'warn',
    message:
      'range map put in force again after the store came back from a copy',
  },
  mapSettled: {
    number: 6062,
    level: 'info',
    message: 'recovery of a range map ended',
  },
  storeRestored: {
    number: 6063,
    level: 'warn',
    message: 'store came back from a copy; reading all objects again',
  },
  departureRecalled: {
    number: 6066,
    level: 'warn',
    message:
      'other daemons know a later state of the instance than the store has',
  },
  memberLost: {
    number: 6043,
    level: 'warn',
    message: 'instance declared lost; revoking its keys',
  },
  grantFailed: {
    number: 6044,
    level: 'warn',
    message: 'call to grant keys failed or was not answered',
  },
  keysReleased: {
    number: 6045,
    level: 'info',
    message: 'instance released keys',
  },
  keysHeldPastTerm: {
    number: 6064,
    level: 'error',
    message: 'instance reports keys that the map has given to another',
  },
  releaseUnanswered: {
    number: 6046,
    level: 'warn',
    message: 'call to release keys was not answered; retrying',
  },
  keyNotHeld: {
    number: 6047,
    level: 'warn',
    message: 'instance does not hold keys that were granted to it',
  },
  channelSilent: {
    number: 6053,
    level: 'info',
    message:
      'channel to another daemon is silent; requests take HTTP or a new one',
  },
  quarantineNotSent: {
    number: 6054,
    level: 'info',
    message: 'daemons did not receive a message on suspect requests',
  },
  quarantineMalformed: {
    number: 6055,
    level: 'warn',
    message: 'message on suspect requests could not be parsed',
  },
  channelBroken: {
    number: 6049,
    level: 'warn',
    message: 'channel closed: another daemon sent frames that are not valid',
  },
  crashed: {
    number: 6057,
    level: 'error',
    message: 'unexpected error; the daemon ends',
  },
  loadUnknown: {
    number: 6067,
    level: 'info',
    message: 'load of members could not be read; they get no more keys',
  },
  memberReachedByOthers: {
    number: 6058,
    level: 'info',
    message: 'daemon reached by others, not by this one; keys not revoked',
  },
  taskFailed: {
    number: 6050,
    level: 'error',
    message: 'unexpected error in a background task',
  },
  linesDropped: {
    number: 6051,
    level: 'warn',
    message: 'log lines dropped to limit the log volume',
  },
  loopDelayed: {
    number: 6052,
    level: 'warn',
    message: 'event loop delay exceeded the threshold',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
