import type {EventKind} from '../telemetry/index.js';

/** Log events of the ownership module. */
export const OWNERSHIP_EVENTS = {
  registered: {number: 2000, level: 'info', message: 'lease registered'},
  registrationFailed: {
    number: 2001,
    level: 'warn',
    message: 'registration record not stored',
  },
  leaseValid: {number: 2002, level: 'info', message: 'lease in force'},
  leaseLapsed: {number: 2003, level: 'warn', message: 'lease lapsed'},
  leaseEnded: {number: 2004, level: 'warn', message: 'lease ended'},
  began: {number: 2010, level: 'info', message: 'terms began'},
  released: {number: 2011, level: 'info', message: 'terms released'},
  markedEnded: {
    number: 2012,
    level: 'info',
    message: 'lease end recorded',
  },
  draining: {
    number: 2013,
    level: 'info',
    message: 'drain started, releasing all slices',
  },
  chunkPlanned: {number: 2020, level: 'info', message: 'chunk recorded'},
  chunkConflict: {
    number: 2021,
    level: 'debug',
    message: 'chunk not stored, changed by another instance',
  },
} as const satisfies Readonly<Record<string, EventKind>>;
