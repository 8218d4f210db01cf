import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';

/** Exit code of a process that ends because of an unexpected error. */
const CRASH_EXIT_CODE = 1;

/** What a process does when it ends. */
export interface ProcessEnd {
  readonly log: Log;
  /** Writes the lines of the log that wait. */
  readonly flush: () => void;
  readonly exit: (code: number) => void;
}

/**
 * Creates the handler of errors that nothing has caught: logs the error with its
 * stack in one line, and ends the process.
 *
 * @example
 * process.on('uncaughtException', createCrashHandler({log, flush, exit: process.exit}));
 */
export function createCrashHandler({
  log,
  flush,
  exit,
}: ProcessEnd): (error: unknown) => void {
  return error => {
    const message = (error as Error | undefined)?.stack ?? String(error);
    log(SIDECAR_EVENTS.crashed, {message});
    flush();
    exit(CRASH_EXIT_CODE);
  };
}
