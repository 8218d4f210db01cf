import type {EventKind} from '../telemetry/index.js';

/** Log events of the request path of the sidecar deployment. */
export const RELAY_EVENTS = {
  served: {
    number: 5001,
    level: 'debug',
    message: 'request answered',
  },
  failed: {
    number: 5002,
    level: 'info',
    message: 'request failed',
  },
  retried: {
    number: 5003,
    level: 'info',
    message: 'request sent again after a failed attempt',
  },
  answerRefused: {
    number: 5004,
    level: 'info',
    message: 'answer of the upstream rejected and not forwarded',
  },
  broken: {
    number: 5005,
    level: 'warn',
    message:
      'answer ended before it was complete; connection of the caller closed',
  },
  cancelled: {
    number: 5006,
    level: 'debug',
    message: 'caller closed the connection before the request was answered',
  },
  hopRefused: {
    number: 5007,
    level: 'warn',
    message: 'forwarded request without a valid hop header refused',
  },
  unreachable: {
    number: 5008,
    level: 'warn',
    message: 'forwarding failed: daemon did not accept or answer the request',
  },
  malformed: {
    number: 5009,
    level: 'info',
    message: 'malformed request refused',
  },
  ran: {
    number: 5010,
    level: 'debug',
    message: 'forwarded request ended',
  },
  offerRefused: {
    number: 5011,
    level: 'info',
    message: 'offer of a long request body refused',
  },
  slotsUsed: {
    number: 5012,
    level: 'info',
    message: 'use of the slots of the instance',
    isPeriodic: true,
  },
  routeResults: {
    number: 5013,
    level: 'info',
    message: 'requests of a route that ended',
    isPeriodic: true,
  },
  instanceEnded: {
    number: 5014,
    level: 'warn',
    message: 'instance ended while it ran requests',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
