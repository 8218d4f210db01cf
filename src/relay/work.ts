import type {RequestState} from '../gateway/index.js';
import {notRun, type Failure} from '../model/index.js';
import type {ReceivedRequest, ResponseWriter} from '../upstream/index.js';
import type {RequestContent} from '../quarantine/index.js';
import {bodyDigestOf, type RequestBody} from './body.js';
import {
  HOP_HEADER,
  KNOWN_LIMIT_HEADER,
  formatHop,
  hopOf,
  type Task,
} from './hop.js';
import type {Intake} from './intake.js';
import {SENT_AT_HEADER} from './transit.js';

/** A request to be run at an instance. */
export interface Work extends Task {
  /** Deadline of the request, in milliseconds of the clock. */
  readonly deadlineAt: number;
  /**
   * Time by which the latency objective is met, in milliseconds of the clock.
   */
  readonly objectiveAt: number;
  readonly method: string;
  /** Host that the caller addressed. */
  readonly host: string;
  /**
   * Rate limit that the instance last stated to this daemon, in requests a
   * second.
   */
  readonly knownLimit?: number;
  /** Path with the query. */
  readonly target: string;
  /** Names and values of the headers, alternating. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
}

/** State of one request that a daemon handles. */
export interface Flow {
  readonly request: ReceivedRequest;
  readonly response: ResponseWriter;
  readonly state: RequestState;
  readonly bodyMode: 'none' | 'kept' | 'streamed';
  /** Stops the request; only the first reason counts. */
  readonly stop: (failure: Failure) => void;
  readonly course: Timings;
}

/** Time that a request spent in each stage so far, in milliseconds. */
export interface Timings {
  /** Time until the body was read. */
  readonly bodyMs: number;
  /** Time from when another daemon forwarded it until it was read. */
  readonly transitMs?: number;
  /** Time that it waited for its key and a slot. */
  waitMs?: number;
  /** Time that the instance took to answer. */
  runMs?: number;
}

/**
 * Time after the deadline at which the daemon beside an instance stops waiting
 * for the answer, in milliseconds: the instance stops at the deadline, and its
 * answer takes a local connection only.
 */
const LOCAL_GRACE_MS = 60;

/**
 * Time after the deadline at which the daemon that received the request of a
 * caller stops waiting, in milliseconds. It exceeds the limit of the daemon
 * beside the instance by the latency between daemons under load, so that the
 * more specific failure of that daemon arrives first.
 */
export const INGRESS_GRACE_MS = 160;

/**
 * Stops a request shortly after its deadline, and when its caller disconnects.
 *
 * @param timeMs Time until the deadline, in milliseconds.
 * @param graceMs Time after the deadline for which an answer is still accepted.
 * @returns a function that cancels the deadline.
 *
 * @example
 * const cancelDeadline = stopAtDeadline(response, stop, 1200);
 */
export function stopAtDeadline(
  response: ResponseWriter,
  stop: Flow['stop'],
  timeMs: number,
  graceMs = LOCAL_GRACE_MS,
): () => void {
  const timer = setTimeout(() => {
    stop(notRun('deadline', 'the deadline of the request has passed'));
  }, timeMs + graceMs);
  response.once('close', () => {
    if (!response.writableFinished) {
      stop(
        notRun(
          'cancelled',
          'the caller closed the connection before the answer was sent',
        ),
      );
    }
  });
  return () => clearTimeout(timer);
}

/**
 * Returns what identifies a request when it comes again under another id.
 *
 * @example
 * fingerprintOf(contentOf(work));
 */
export function contentOf({
  method,
  host,
  target,
  key,
  body,
}: Pick<Work, 'method' | 'host' | 'target' | 'key' | 'body'>): RequestContent {
  const hasBody = body.kind !== 'none';
  const bodyDigest = () => bodyDigestOf(body);
  return {method, host, target, key, hasBody, bodyDigest};
}

/**
 * Returns the body to send upstream.
 *
 * @example
 * exchange(pool, {method, path, headers, body: bodyToSend(work.body)}, ...);
 */
export function bodyToSend(
  body: RequestBody,
): Buffer | AsyncIterable<Uint8Array> | null {
  if (body.kind === 'buffered') return body.bytes;
  if (body.kind === 'streamed') return body.parts;
  return null;
}

/**
 * Returns the headers that describe a forwarded request to the daemon beside
 * the instance.
 *
 * @param aheadMs By how much its clock is ahead of `now`, if known.
 *
 * @example
 * const headers = [...work.headers, ...hopHeaders(work, performance.now(), 0)];
 */
export function hopHeaders(
  work: Work,
  now: number,
  aheadMs: number | undefined,
): string[] {
  const headers = [HOP_HEADER, formatHop(hopOf(work, now))];
  const {knownLimit} = work;
  if (knownLimit !== undefined)
    headers.push(KNOWN_LIMIT_HEADER, String(knownLimit));
  if (aheadMs !== undefined)
    headers.push(SENT_AT_HEADER, String(Math.round(now + aheadMs)));
  return headers;
}

/** Longest wait for admission to an overloaded process, in milliseconds. */
const MAX_INTAKE_WAIT_MS = 400;

/**
 * Largest share of the time until the deadline that a request waits for
 * admission.
 */
const INTAKE_WAIT_SHARE = 0.3;

/** Dependencies for admitting requests to the process. */
export interface AdmissionContext {
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  readonly intake: Intake;
}

/**
 * Admits a request to the process, or returns the reason for the refusal. A
 * request whose deadline has passed is neither queued nor admitted.
 *
 * @param rank Requests of a lower rank are started first.
 * @param startedAt Arrival of the request, in milliseconds of the clock.
 * @param deadlineAt Deadline, in milliseconds of the clock.
 *
 * @example
 * const refusal = await admitRequest(context, flow, 0, startedAt, deadlineAt);
 */
export async function admitRequest(
  {clock, intake}: AdmissionContext,
  {state}: Pick<Flow, 'state'>,
  rank: number,
  startedAt: number,
  deadlineAt: number,
): Promise<Failure | undefined> {
  const refusal = (retryMs?: number) => {
    const {stopReason} = state;
    return admissionRefusal({stopReason, now: clock(), deadlineAt, retryMs});
  };
  const refusedOnArrival = refusal();
  if (refusedOnArrival) return refusedOnArrival;
  const shareMs = (deadlineAt - startedAt) * INTAKE_WAIT_SHARE;
  const waitMs = Math.min(MAX_INTAKE_WAIT_MS, shareMs);
  const isOver = () => refusal() !== undefined;
  const admission = intake.admit(rank, deadlineAt, waitMs, isOver);
  return refusal(admission && (await admission));
}

/** What is known of a request when its admission is decided. */
export interface AdmissionCase {
  /** Reason for which the request was stopped, if it was. */
  readonly stopReason?: Failure;
  readonly now: number;
  /** Deadline, in milliseconds of the same clock as `now`. */
  readonly deadlineAt: number;
  /**
   * Time after which the overloaded process may be asked again, in
   * milliseconds; undefined if the intake has not refused the request.
   */
  readonly retryMs?: number;
}

/**
 * Returns the reason for which a request is not admitted, if any. The deadline
 * is decided before the load: a request without time left would be refused
 * everywhere, and must not count as a sign of overload.
 *
 * @example
 * admissionRefusal({now: 900, deadlineAt: 800, retryMs: 300})?.reason; // 'deadline'
 */
export function admissionRefusal({
  stopReason,
  now,
  deadlineAt,
  retryMs,
}: AdmissionCase): Failure | undefined {
  if (stopReason) return stopReason;
  if (now >= deadlineAt) {
    const late = 'the deadline passed before the request could be started';
    return notRun('deadline', late);
  }
  if (retryMs === undefined) return undefined;
  return notRun(
    'overloaded',
    'the daemon is overloaded and refused the request before starting it',
    retryMs,
  );
}

/**
 * Largest share of the time until the deadline that a request waits for the
 * holder of its key.
 */
const HOLDER_WAIT_SHARE = 0.5;

/**
 * Returns the time until which a request waits for a holder of its key: at most
 * half of the remaining time, so that as much is left to run and answer it.
 *
 * Moves of keys last about as long as the remaining time of some requests.
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
