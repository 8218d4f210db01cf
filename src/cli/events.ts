import type {EventKind} from '../telemetry/index.js';

/** Log events of the command-line tool for operators. */
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
    message: 'an operator requested that an instance drain',
  },
  instanceDeclaredLost: {
    number: 4004,
    level: 'warn',
    message: 'an instance was declared lost for good',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
