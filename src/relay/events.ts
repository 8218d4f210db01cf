import type {EventKind} from '../telemetry/index.js';

/** Log events of the request path on a fleet of instances with daemons. */
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
    message: 'request sent again',
  },
  answerRefused: {
    number: 5004,
    level: 'info',
    message: 'answer of the upstream not passed on',
  },
  broken: {
    number: 5005,
    level: 'warn',
    message: 'answer broke off; connection of the caller closed',
  },
  cancelled: {
    number: 5006,
    level: 'debug',
    message: 'request cancelled by its caller',
  },
  hopRefused: {
    number: 5007,
    level: 'warn',
    message: 'forwarded request refused',
  },
  unreachable: {
    number: 5008,
    level: 'warn',
    message: 'daemon does not answer',
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
    message: 'request with a long body refused before its body was sent',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
