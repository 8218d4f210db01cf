import type {EventKind} from '../telemetry/index.js';

/** Log events of the quarantine. */
export const QUARANTINE_EVENTS = {
  quarantined: {
    number: 7001,
    level: 'warn',
    message: 'request quarantined: instances ended each time it ran',
  },
  released: {
    number: 7002,
    level: 'info',
    message: 'request released from quarantine',
  },
  trial: {
    number: 7003,
    level: 'info',
    message: 'trial of a quarantined request begins',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
