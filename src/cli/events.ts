import type {EventKind} from '../telemetry/index.js';

/** Events of the operators' command. */
export const CLI_EVENTS = {
  configurationAccepted: {
    number: 4001,
    level: 'info',
    message: 'a configuration was accepted',
  },
  configurationRefused: {
    number: 4002,
    level: 'warn',
    message: 'a configuration was refused',
  },
  drainRequested: {
    number: 4003,
    level: 'info',
    message: 'an instance was told to drain',
  },
  instanceDeclaredLost: {
    number: 4004,
    level: 'warn',
    message: 'an instance was declared lost for good',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
