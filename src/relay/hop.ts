import type {Failure, FailureReason, Outcome} from '../model/index.js';
import type {ResponseHead} from '../upstream/index.js';
import type {Repetition} from './configuration.js';

/** Header that describes a request which one daemon forwards to another. */
export const HOP_HEADER = 'vanillaspool-hop';

/** Header of a forwarded answer with the load of the instance. */
export const LOAD_HEADER = 'vanillaspool-load';

/**
 * Header of a forwarded request with the rate limit that the instance last
 * stated to the forwarding daemon, in requests a second.
 */
export const KNOWN_LIMIT_HEADER = 'vanillaspool-known-limit';

/** Header of the offer of a request body, with its length. */
export const OFFER_HEADER = 'vanillaspool-offer';

const OUTCOME_HEADER = 'vanillaspool-outcome';
const REASON_HEADER = 'vanillaspool-reason';
const RETRY_HEADER = 'vanillaspool-retry-ms';
const OFFERED_HEADER = 'vanillaspool-offered';

/** A request as both daemons identify it, without its content and times. */
export interface Task {
  readonly id: string;
  readonly service: string;
  /** Instance that is to run the request. */
  readonly instance: string;
  readonly route: string;
  readonly repetition: Repetition;
  readonly priority: number;
  readonly key?: number;
  readonly callerService: string;
}

/** Description of a forwarded request for the daemon beside the instance. */
export interface Hop extends Task {
  /** Time until the deadline, in milliseconds. */
  readonly leftMs: number;
  /** Time until the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number;
}

/** A task with absolute times, in milliseconds of the clock. */
export interface TimedTask extends Task {
  readonly deadlineAt: number;
  readonly objectiveAt: number;
}

/**
 * Returns the hop description of a task that is forwarded now.
 *
 * @example
 * formatHop(hopOf(work, performance.now()));
 */
export function hopOf(task: TimedTask, now: number): Hop {
  return {
    ...task,
    leftMs: Math.max(1, task.deadlineAt - now),
    objectiveLeftMs: task.objectiveAt - now,
  };
}

/**
 * Formats a hop as a header value.
 *
 * @example
 * headers.push(HOP_HEADER, formatHop(hop));
 */
export function formatHop(hop: Hop): string {
  return JSON.stringify([
    hop.id,
    hop.service,
    hop.instance,
    hop.route,
    hop.repetition,
    hop.priority,
    Math.round(hop.leftMs),
    Math.round(hop.objectiveLeftMs),
    hop.key ?? null,
    hop.callerService,
  ]);
}

/**
 * Parses a hop from its header value.
 *
 * @returns undefined if the header is missing or malformed.
 *
 * @example
 * const hop = parseHop(request.headers[HOP_HEADER]);
 */
export function parseHop(
  text: string | readonly string[] | undefined,
): Hop | undefined {
  if (typeof text !== 'string') return undefined;
  let values: unknown;
  try {
    values = JSON.parse(text);
  } catch {
    return undefined; // The caller logs and refuses the request.
  }
  if (!Array.isArray(values) || values.length !== HOP_FIELDS) return undefined;
  // By index: it runs for each request, and destructuring iterates.
  return {
    id: values[0],
    service: values[1],
    instance: values[2],
    route: values[3],
    repetition: values[4],
    priority: values[5],
    leftMs: values[6],
    objectiveLeftMs: values[7],
    key: values[8] ?? undefined,
    callerService: values[9],
  };
}

const HOP_FIELDS = 10;

/**
 * Returns the headers with which a daemon reports a failure to another.
 *
 * @param offered The request was sent to the instance.
 *
 * @example
 * response.writeHead(failure.status, failureHeaders(failure, false));
 */
export function failureHeaders(failure: Failure, offered: boolean): string[] {
  const {outcome, reason, retryAfterMs} = failure;
  const headers = [OUTCOME_HEADER, outcome, REASON_HEADER, reason];
  if (retryAfterMs !== undefined) {
    headers.push(RETRY_HEADER, String(Math.round(retryAfterMs)));
  }
  if (offered) headers.push(OFFERED_HEADER, 'true');
  return headers;
}

/** A failure that another daemon reported. */
export interface ReportedFailure {
  readonly failure: Failure;
  /** The request was sent to the instance. */
  readonly offered: boolean;
}

/**
 * Parses the failure that another daemon reported.
 *
 * @returns undefined if the answer comes from the upstream.
 *
 * @example
 * const failure = readFailure(head);
 */
export function readFailure(head: ResponseHead): ReportedFailure | undefined {
  const outcome = head.ownHeaders.get(OUTCOME_HEADER);
  if (outcome === undefined) return undefined;
  const retry = head.ownHeaders.get(RETRY_HEADER);
  const failure = {
    status: head.status,
    outcome: outcome as Outcome,
    reason: (head.ownHeaders.get(REASON_HEADER) ?? 'no-owner') as FailureReason,
    message: 'refused or failed at the daemon beside the instance',
    retryAfterMs: retry === undefined ? undefined : Number(retry),
  };
  return {failure, offered: head.ownHeaders.has(OFFERED_HEADER)};
}

/** Load of an instance, as the daemon beside it reports it. */
export interface ReportedLoad {
  /** Requests that run or wait for a slot. */
  readonly busy: number;
  readonly slots: number;
  /** Mean time that a request takes, in milliseconds. */
  readonly meanMs: number;
  /**
   * Time until the rate limit of the instance allows one more request, in
   * milliseconds.
   */
  readonly limitedMs: number;
  /** Interval of requests that the rate limit allows; 0 without a limit. */
  readonly intervalMs: number;
  /**
   * Monotonic clock of the daemon when it read the request, or later, in
   * milliseconds.
   */
  readonly clockMs: number;
  /**
   * Mean time that a request of the same route takes, in milliseconds, if known.
   */
  readonly routeMs?: number;
}

/**
 * Formats a load as a header value.
 *
 * @example
 * const times = {meanMs: 118.4, limitedMs: 0, intervalMs: 0, clockMs: 9301};
 * formatLoad({busy: 14, slots: 12, ...times}); // '14,12,118,0,0,9301'
 */
export function formatLoad(load: ReportedLoad): string {
  const {busy, slots, meanMs, limitedMs, intervalMs, clockMs} = load;
  const {routeMs = 0} = load;
  const limit = `${Math.round(limitedMs)},${Math.round(intervalMs)}`;
  const times = `${Math.round(meanMs)},${limit},${Math.round(clockMs)}`;
  const route = routeMs > 0 ? `,${Math.round(routeMs)}` : '';
  return `${busy},${slots},${times}${route}`;
}

/**
 * Parses the load from the headers of an answer. The clock is NaN if a daemon
 * of an earlier version does not state it.
 *
 * @example
 * const load = readLoad(head);
 */
export function readLoad(head: ResponseHead): ReportedLoad | undefined {
  const text = head.ownHeaders.get(LOAD_HEADER);
  if (text === undefined) return undefined;
  const values = text.split(',');
  const slots = Number(values[1]);
  if (!(slots > 0)) return undefined;
  return {
    busy: Number(values[0]),
    slots,
    meanMs: Number(values[2]),
    limitedMs: Number(values[3] ?? 0),
    intervalMs: Number(values[4] ?? 0),
    clockMs: Number(values[5] || NaN),
    ...(values[6] && {routeMs: Number(values[6])}),
  };
}
