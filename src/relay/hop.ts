import type {Failure, FailureReason, Outcome} from '../model/index.js';
import type {ResponseHead} from '../upstream/index.js';
import type {Repetition} from './configuration.js';

/** Header that describes a request that one daemon forwards to another. */
export const HOP_HEADER = 'vanillaspool-hop';

/** Header of a forwarded answer that states the load of the instance. */
export const LOAD_HEADER = 'vanillaspool-load';

/**
 * Header of a forwarded request that states the limit which its instance last
 * named to the sender, in requests a second.
 */
export const KNOWN_LIMIT_HEADER = 'vanillaspool-known-limit';

/** Header of a question whether a request's body of this length may be sent. */
export const OFFER_HEADER = 'vanillaspool-offer';

const OUTCOME_HEADER = 'vanillaspool-outcome';
const REASON_HEADER = 'vanillaspool-reason';
const RETRY_HEADER = 'vanillaspool-retry-ms';
const OFFERED_HEADER = 'vanillaspool-offered';

/** What is to be run where, apart from the request itself and its times. */
export interface Task {
  readonly id: string;
  readonly service: string;
  /** Incarnation that is to run the request. */
  readonly instance: string;
  readonly route: string;
  readonly repetition: Repetition;
  readonly priority: number;
  readonly key?: number;
  readonly callerService: string;
}

/** What the daemon beside an instance has to know of a forwarded request. */
export interface Hop extends Task {
  /** Time left until the deadline, in milliseconds. */
  readonly leftMs: number;
  /** Time left until the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number;
}

/** A task with its times as points of a clock, in milliseconds. */
export interface TimedTask extends Task {
  readonly deadlineAt: number;
  readonly objectiveAt: number;
}

/**
 * Returns the hop of a task that is forwarded now.
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
 * Writes a hop as a header value.
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
 * Reads a hop from its header.
 *
 * @returns undefined when the header is missing or malformed.
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
    return undefined; // The caller of this function logs and refuses it.
  }
  if (!Array.isArray(values) || values.length !== HOP_FIELDS) return undefined;
  const [id, service, instance, route, repetition, priority] = values;
  const [leftMs, objectiveLeftMs, key, callerService] = values.slice(6);
  return {
    id,
    service,
    instance,
    route,
    repetition,
    priority,
    leftMs,
    objectiveLeftMs,
    key: key ?? undefined,
    callerService,
  };
}

const HOP_FIELDS = 10;

/**
 * Writes a failure into the headers of an answer between daemons.
 *
 * @param offered The request reached the instance.
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

/** A failure that another daemon reports. */
export interface ReportedFailure {
  readonly failure: Failure;
  /** The request reached the instance. */
  readonly offered: boolean;
}

/**
 * Reads the failure that another daemon reports.
 *
 * @returns undefined when the answer comes from the upstream.
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
    message: 'reported by the daemon beside the instance',
    retryAfterMs: retry === undefined ? undefined : Number(retry),
  };
  return {failure, offered: head.ownHeaders.has(OFFERED_HEADER)};
}

/** Load of an instance as the daemon beside it reports it. */
export interface ReportedLoad {
  /** Requests that run or wait. */
  readonly busy: number;
  readonly slots: number;
  /** Mean time that a request takes, in milliseconds. */
  readonly meanMs: number;
  /** Time until the instance's limit allows one more, in milliseconds. */
  readonly limitedMs: number;
  /** Time between two requests that its limit allows; 0 without a limit. */
  readonly intervalMs: number;
}

/**
 * Writes a load as a header value.
 *
 * @example
 * const times = {meanMs: 118.4, limitedMs: 0, intervalMs: 0};
 * formatLoad({busy: 14, slots: 12, ...times}); // '14,12,118,0,0'
 */
export function formatLoad(load: ReportedLoad): string {
  const {busy, slots, ...times} = load;
  const {meanMs, limitedMs, intervalMs} = times;
  return [
    busy,
    slots,
    ...[meanMs, limitedMs, intervalMs].map(Math.round),
  ].join();
}

/**
 * Reads a load from the headers of an answer.
 *
 * @example
 * const load = readLoad(head);
 */
export function readLoad(head: ResponseHead): ReportedLoad | undefined {
  const [busy, slots, meanMs, limitedMs = 0, intervalMs = 0] = (
    head.ownHeaders.get(LOAD_HEADER) ?? ''
  )
    .split(',')
    .map(Number);
  return slots > 0 ? {busy, slots, meanMs, limitedMs, intervalMs} : undefined;
}
