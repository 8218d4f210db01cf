import type {EventKind} from '../telemetry/index.js';

/** Log events of the request path. */
export const GATEWAY_EVENTS = {
  failed: {
    number: 3001,
    level: 'info',
    message: 'request failed',
  },
  broken: {
    number: 3002,
    level: 'warn',
    message: 'answer broke off; connection of the caller closed',
  },
  cancelled: {
    number: 3003,
    level: 'debug',
    message: 'request cancelled by its caller',
  },
  retried: {
    number: 3004,
    level: 'info',
    message: 'request sent again',
  },
  hopRefused: {
    number: 3005,
    level: 'warn',
    message: 'forwarded request refused',
  },
  malformed: {
    number: 3006,
    level: 'info',
    message: 'malformed request refused',
  },
  answerDiscarded: {
    number: 3007,
    level: 'warn',
    message: 'answer discarded because the term had lapsed',
  },
  closing: {
    number: 3008,
    level: 'info',
    message: 'closing; requests in flight are finished',
  },
  fault: {
    number: 3009,
    level: 'error',
    message: 'unexpected error while handling a request',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
