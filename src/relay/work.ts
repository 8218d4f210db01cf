import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestState} from '../gateway/index.js';
import {notRun, type Failure} from '../model/index.js';
import type {RequestBody} from './body.js';
import {
  HOP_HEADER,
  KNOWN_LIMIT_HEADER,
  formatHop,
  hopOf,
  type Task,
} from './hop.js';
import type {Intake} from './intake.js';

/** One request that an instance is to run. */
export interface Work extends Task {
  /** Time by which the answer is due, in milliseconds of the clock. */
  readonly deadlineAt: number;
  /** Time of the latency objective, in milliseconds of the clock. */
  readonly objectiveAt: number;
  readonly method: string;
  /** Limit that the instance last named to this daemon, in requests a second. */
  readonly knownLimit?: number;
  /** Path with its query. */
  readonly target: string;
  /** Name and value of each header in turn. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
}

/** The course of one request through a daemon. */
export interface Flow {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly state: RequestState;
  readonly bodyMode: 'none' | 'kept' | 'streamed';
  /** Ends the flow early; the first reason counts. */
  readonly stop: (failure: Failure) => void;
  readonly course: Timings;
}

/** Where the time of a request went, in milliseconds, as far as it has come. */
export interface Timings {
  /** Time in which its body arrived. */
  readonly bodyMs: number;
  /** Time for which it waited for its key and a slot. */
  waitMs?: number;
  /** Time that the instance took. */
  runMs?: number;
}

/**
 * Time after the deadline at which the daemon beside an instance gives an answer
 * up, in milliseconds: the instance ends its work at the deadline, and its answer
 * has a short way.
 */
const LOCAL_GRACE_MS = 60;

/**
 * Time after the deadline at which the daemon of a caller gives an answer up, in
 * milliseconds. It is longer by the way between daemons under load, so that what
 * the daemon beside the instance knows of the request arrives before.
 */
export const INGRESS_GRACE_MS = 160;

/**
 * Stops a flow a little after its deadline, and when its caller has gone.
 *
 * @param timeMs Time until the deadline, in milliseconds.
 * @param graceMs Time after the deadline for which an answer may still come.
 * @returns what ends the wait for the deadline.
 *
 * @example
 * const settled = stopWhenOver(response, stop, 1200);
 */
export function stopAtDeadline(
  response: ServerResponse,
  stop: Flow['stop'],
  timeMs: number,
  graceMs = LOCAL_GRACE_MS,
): () => void {
  const timer = setTimeout(() => {
    stop(notRun('deadline', 'the deadline has passed'));
  }, timeMs + graceMs);
  response.once('close', () => {
    if (!response.writableFinished) {
      stop(notRun('cancelled', 'the caller has gone'));
    }
  });
  return () => clearTimeout(timer);
}

/**
 * Returns the body in the form in which it is sent.
 *
 * @example
 * exchange(pool, {method, path, headers, body: sendable(work.body)}, ...);
 */
export function bodyToSend(
  body: RequestBody,
): Buffer | AsyncIterable<Uint8Array> | null {
  if (body.kind === 'kept') return body.bytes;
  if (body.kind === 'streamed') return body.parts;
  return null;
}

/**
 * Returns what tells the daemon beside an instance of a request that is
 * forwarded now.
 *
 * @example
 * const headers = [...work.headers, ...hopHeaders(work, performance.now())];
 */
export function hopHeaders(work: Work, now: number): string[] {
  const headers = [HOP_HEADER, formatHop(hopOf(work, now))];
  const {knownLimit} = work;
  if (knownLimit === undefined) return headers;
  return [...headers, KNOWN_LIMIT_HEADER, String(knownLimit)];
}

/** Longest wait for a turn of a busy process, in milliseconds. */
const MAX_INTAKE_WAIT_MS = 400;

/** Share of its time for which a request waits for a turn. */
const INTAKE_WAIT_SHARE = 0.3;

/**
 * Lets a request in, or tells why not.
 *
 * @param rank Requests of a lower rank go first.
 * @param startedAt Time from which its share counts, in milliseconds of the clock.
 * @param deadlineAt Deadline.
 *
 * @example
 * const refusal = await letIn(intake, flow, 0, startedAt, deadlineAt);
 */
export async function admitRequest(
  intake: Intake,
  {state}: Flow,
  rank: number,
  startedAt: number,
  deadlineAt: number,
): Promise<Failure | undefined> {
  const shareMs = (deadlineAt - startedAt) * INTAKE_WAIT_SHARE;
  const waitMs = Math.min(MAX_INTAKE_WAIT_MS, shareMs);
  const isAbandoned = () => state.stopReason !== undefined;
  const admission = intake.admit(rank, deadlineAt, waitMs, isAbandoned);
  const retryMs = admission && (await admission);
  if (state.stopReason) return state.stopReason;
  if (retryMs === undefined) return undefined;
  return notRun('overloaded', 'the daemon has no time for it', retryMs);
}

/** Share of its time for which a request waits for the holder of its key. */
const HOLDER_WAIT_SHARE = 0.5;

/**
 * Returns the time until which a request waits for a holder of its key: some
 * time, but no longer than leaves it as much again to be run and answered.
 *
 * Answers moves of keys, which last about as long as some requests have left.
 *
 * @example
 * holderWaitUntil(1000, 1400, 700); // 1200
 */
export function holderWaitUntil(
  now: number,
  deadlineAt: number,
  maxWaitMs: number,
): number {
  return now + Math.min(maxWaitMs, (deadlineAt - now) * HOLDER_WAIT_SHARE);
}
