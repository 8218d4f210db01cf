import type {EventKind} from '../telemetry/index.js';

/** Events of the admission to the upstream. */
export const ADMISSION_EVENTS = {
  slotsChanged: {
    number: 3200,
    level: 'info',
    message: 'The number of slots of the upstream changed',
  },
  paused: {
    number: 3201,
    level: 'warn',
    message: 'The upstream shed a request; none is sent until its Retry-After',
  },
  restarted: {
    number: 3202,
    level: 'info',
    message:
      'The upstream started cold; its slots are taken into use step by step',
  },
  refusing: {
    number: 3203,
    level: 'warn',
    message: 'Requests are refused for lack of slots',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
