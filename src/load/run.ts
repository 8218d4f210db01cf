import {callWithRetries, type CallerOptions, type Result} from './caller.js';
import {createOwnerHints} from './hints.js';
import {planRequests, type Workload} from './plan.js';
import {createSender} from './sender.js';

/** Requests that are sent at once before answers get a turn. */
const BATCH_REQUESTS = 16;

/** Everything that a load run is told. */
export interface LoadOptions extends CallerOptions {
  readonly workload: Workload;
  /** Connections to each daemon. */
  readonly connections: number;
  /** Owners that the callers remember; 0 follows no hints. */
  readonly hints: number;
  /** Characters of a key that share one remembered owner. */
  readonly hintPrefix: number;
}

/**
 * Runs an open-loop load: every request is sent when it is due, however many
 * are still unanswered.
 *
 * @param onResult Called as each request ends.
 * @param signal Stops the sending of further requests.
 * @returns Resolves when every request that was sent has ended.
 * @throws {RangeError} when the options do not make a load.
 *
 * @example
 * const tally = createTally();
 * await runLoad(options, tally.add);
 */
export async function runLoad(
  options: LoadOptions,
  onResult: (result: Result) => void,
  signal?: AbortSignal,
): Promise<void> {
  if (options.targets.length === 0) {
    throw new RangeError('a load needs a daemon to call');
  }
  const startMs = performance.now();
  const now = () => performance.now() - startMs;
  const sender = createSender(options.connections);
  const hints = createOwnerHints(options.hints, options.hintPrefix);
  const dependencies = {sender, hints, now, sleep};
  const running = new Set<Promise<void>>();
  let inBatch = 0;
  for (const request of planRequests(options.workload)) {
    const waitMs = request.dueMs - now();
    inBatch = waitMs > 0 ? 0 : (inBatch + 1) % BATCH_REQUESTS;
    if (waitMs > 0) await sleep(waitMs);
    else if (inBatch === 0) await yieldToEventLoop();
    if (signal?.aborted) break;
    const call = callWithRetries(dependencies, options, request).then(onResult);
    running.add(call);
    void call.finally(() => running.delete(call));
  }
  await Promise.all(running);
  await sender.close();
}

function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function sleep(timeMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, timeMs));
}
