import net from 'node:net';
import type {Address} from '../model/index.js';

/** Shortest interval between two checks, in milliseconds. */
const MIN_INTERVAL_MS = 500;

/** Time limit of a check, in milliseconds. */
const CHECK_TIMEOUT_MS = 1000;

/** Checks whether the local instance has ended. */
export interface EndCheck {
  /**
   * Opens a connection to the instance, unless it was checked just before.
   *
   * @param onEnded Called if nothing listens at the address.
   */
  readonly request: (address: Address, onEnded: () => void) => void;
}

/**
 * Creates the check of the local instance. Only a refused connection proves
 * that it has ended; a closed one may be a lost answer.
 *
 * @example
 * const check = createEndCheck(() => performance.now());
 * check.request(local.address, () => runs.recordEnd(local));
 */
export function createEndCheck(clock: () => number): EndCheck {
  let checkedAt = -Infinity;
  return {
    request: ({host, port}, onEnded) => {
      if (clock() < checkedAt + MIN_INTERVAL_MS) return;
      checkedAt = clock();
      const socket = net.connect({host, port});
      socket.setTimeout(CHECK_TIMEOUT_MS, () => socket.destroy());
      socket.on('connect', () => socket.destroy());
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') onEnded();
      });
    },
  };
}
