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
    message: 'answer ended early; connection to the caller reset',
  },
  cancelled: {
    number: 3003,
    level: 'debug',
    message: 'request cancelled by the caller',
  },
  retried: {
    number: 3004,
    level: 'info',
    message: 'attempt failed; retrying the request',
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
    message: 'answer discarded because the ownership term lapsed',
  },
  closing: {
    number: 3008,
    level: 'info',
    message: 'shutting down; waiting for requests in flight',
  },
  fault: {
    number: 3009,
    level: 'error',
    message: 'unexpected error in request handling',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
