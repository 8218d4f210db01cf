import type {Address} from '../model/index.js';
import {isCertainlyNotRun, mayRetry, type Verdict} from './answer.js';
import type {OwnerHints} from './hints.js';
import type {PlannedRequest} from './plan.js';
import type {Attempt, Sender} from './sender.js';

/** Delay before a retry if the answer specifies none. */
const RETRY_DELAY_MS = 50;

/** Deadline and retry options of a caller. */
export interface CallerOptions {
  readonly targets: readonly Address[];
  /** Time limit of a request including its retries, in milliseconds. */
  readonly deadlineMs: number;
  /** Time limit of one attempt, in milliseconds. */
  readonly attemptMs: number;
  /** Largest number of attempts for one request; 1 disables retries. */
  readonly attempts: number;
}

/**
 * Outcome of one request. `target`, `verdict`, `status` and `reason` are those
 * of the last attempt; times are in milliseconds since the start.
 */
export interface Result {
  readonly request: PlannedRequest;
  readonly verdict: Verdict;
  readonly status?: number;
  readonly reason?: string;
  readonly attempts: number;
  /** Whether an attempt may have been executed. */
  readonly mayHaveRun: boolean;
  readonly target: Address;
  readonly startedMs: number;
  readonly endedMs: number;
}

/** Dependencies of a caller. */
export interface CallerDependencies {
  readonly sender: Sender;
  readonly hints: OwnerHints;
  /** Time in milliseconds since the start. */
  readonly now: () => number;
  readonly sleep: (timeMs: number) => Promise<void>;
}

/**
 * Sends one request to the known owner of its key, else to one of the targets.
 * Retries while that is safe, attempts remain and the delay ends before the
 * deadline. Each retry again prefers the known owner, else takes the next
 * target.
 *
 * @example
 * const result = await callWithRetries(dependencies, options, request);
 */
export async function callWithRetries(
  dependencies: CallerDependencies,
  options: CallerOptions,
  request: PlannedRequest,
): Promise<Result> {
  const startedMs = dependencies.now();
  const endMs = startedMs + options.deadlineMs;
  let mayHaveRun = false;
  for (let count = 1; ; count++) {
    const target = chooseTarget(
      dependencies.hints,
      options.targets,
      request,
      count,
    );
    const leftMs = Math.max(1, endMs - dependencies.now());
    const limitMs = Math.min(options.attemptMs, leftMs);
    const attempt = await dependencies.sender.send(request, target, limitMs);
    mayHaveRun ||= !isCertainlyNotRun(attempt.verdict);
    updateHints(dependencies.hints, request, attempt);
    const delayMs = attempt.retryAfterMs ?? RETRY_DELAY_MS;
    const isLast =
      count === options.attempts || dependencies.now() + delayMs >= endMs;
    if (isLast || !mayRetry(request, attempt.verdict)) {
      const {verdict, status, reason} = attempt;
      const endedMs = dependencies.now();
      return {
        request,
        verdict,
        status,
        reason,
        attempts: count,
        mayHaveRun,
        target,
        startedMs,
        endedMs,
      };
    }
    await dependencies.sleep(delayMs);
  }
}

function chooseTarget(
  hints: OwnerHints,
  targets: readonly Address[],
  {key, entry}: PlannedRequest,
  count: number,
): Address {
  const hint = key === undefined ? undefined : hints.find(key);
  if (hint) return hint;
  const first = Math.floor(entry * targets.length);
  return targets[(first + count - 1) % targets.length];
}

function updateHints(
  hints: OwnerHints,
  {key}: PlannedRequest,
  attempt: Attempt,
): void {
  if (key === undefined) return;
  if (attempt.owner) hints.record(key, attempt.owner);
  else if (attempt.verdict !== 'ok') hints.remove(key);
}
