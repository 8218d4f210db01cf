import type {EventKind} from '../telemetry/index.js';

/** Log events of admission control. */
export const ADMISSION_EVENTS = {
  slotsChanged: {
    number: 3200,
    level: 'info',
    message: 'The number of slots of the upstream changed',
  },
  paused: {
    number: 3201,
    level: 'warn',
    message:
      'The upstream shed a request; requests are paused for its Retry-After',
  },
  restarted: {
    number: 3202,
    level: 'info',
    message:
      'The upstream started cold; its slots are made available gradually',
  },
  refusing: {
    number: 3203,
    level: 'warn',
    message: 'Requests are refused because no slot becomes free in time',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
