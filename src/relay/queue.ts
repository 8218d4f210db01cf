import {
  withRate,
  hasToken,
  meanMs,
  recordDuration,
  takeToken,
  tokenAvailableAt,
  meanDeviationMs,
  type TokenBucket,
  type Estimate,
} from '../admission/index.js';
import type {FailureReason} from '../model/index.js';

/** A request for a slot of an instance. Times are in milliseconds. */
export interface SlotRequest {
  readonly id: number;
  /** Requests of one kind share an estimate of their duration. */
  readonly kind: string;
  /** Lower values are started first. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Time by which the latency objective is met. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

/** A request that holds a slot. */
export interface RunningRequest {
  readonly request: SlotRequest;
  readonly startedAt: number;
  readonly expectedMs: number;
}

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  readonly expectedMs: number;
  /** It takes much less time than most requests of the instance. */
  readonly isShort: boolean;
  /** Latest start at which it is likely answered by its latency objective. */
  readonly objectiveStartAt: number;
  /** Time at which it is refused if it still waits. */
  readonly expiresAt: number;
}

/** Slots of one instance, and the requests that wait for them. */
export interface QueueState {
  readonly slots: number;
  readonly running: readonly RunningRequest[];
  readonly waiting: readonly WaitingRequest[];
  readonly estimates: readonly Estimate[];
  readonly serviceTimes: ServiceTimes;
  /**
   * Refusals for lack of a slot per arrival, as a moving mean over requests with
   * a latency objective before their deadline.
   */
  readonly refusedShare: number;
  /** Token bucket of the rate limit, if the instance states one. */
  readonly allowance?: TokenBucket;
}

/**
 * Moving sums over completed requests; their quotient is the expected duration
 * of the kind of request that occupies a slot at a random time.
 */
export interface ServiceTimes {
  readonly sumMs: number;
  /** Sum of durations, each multiplied by the expected duration of its kind. */
  readonly sumOfProducts: number;
}

/** An event that changes the queue. */
export type QueueEvent =
  | {readonly kind: 'arrive'; readonly request: SlotRequest}
  /** @param ran The instance ran it to its end, so that its duration counts. */
  | {readonly kind: 'finish'; readonly id: number; readonly ran: boolean}
  | {readonly kind: 'cancel'; readonly id: number}
  /** @param perSecond Rate limit of the instance; undefined for no limit. */
  | {readonly kind: 'limit'; readonly perSecond?: number}
  | {readonly kind: 'tick'};

/** Decision on a request. */
export type QueueVerdict =
  | {readonly kind: 'start'; readonly id: number}
  | {
      readonly kind: 'refuse';
      readonly id: number;
      readonly reason: FailureReason;
      readonly retryAfterMs: number;
    };

/** State after an event, and the decisions that it caused. */
export interface QueueStep {
  readonly state: QueueState;
  readonly verdicts: readonly QueueVerdict[];
}

/**
 * Assumed duration of a kind without an estimate, in milliseconds; about that
 * of a short request.
 */
const DEFAULT_SERVICE_MS = 50;

/**
 * Safety margin of the expected duration in mean deviations; about four of five
 * requests stay below it.
 */
const MARGIN_DEVIATIONS = 1;

/**
 * Largest share of the total time of a request that is reserved for its work,
 * so that a request with little time can still wait in a short queue.
 */
const MAX_WORK_SHARE = 0.75;

/**
 * Share of the expected duration below which a latency objective is out of
 * reach; hardly any request takes less.
 */
const REACHABLE_SHARE = 0.5;

/**
 * Duration relative to that of the request in a slot below which work is short,
 * so that it delays other work by less than half of a request.
 */
const SHORT_SHARE = 0.5;

/**
 * Factor by which the moving sums decay with each completed request: the last
 * fifty make up most of them, which is a second or two at a busy instance.
 */
const SERVICE_TIME_DECAY = 0.98;

/** Largest number of waiting late requests per slot: one round of all slots. */
const MAX_LATE_PER_SLOT = 1;

/**
 * Share of its total time that a late request may wait before it is refused
 * with a Retry-After. Callers obey a Retry-After for about as long.
 */
const LATE_WAIT_SHARE = 0.35;

/** Refusals per arrival from which an instance counts as overloaded. */
const OVERLOAD_SHARE = 0.4;

/** Weight of an arrival in the moving mean of refusals. */
const REFUSED_SHARE_GAIN = 1 / 50;

/**
 * Shortest Retry-After of an instance without a free slot, in milliseconds:
 * about the duration of one request, after which a slot is free.
 */
const MIN_RETRY_MS = 150;

/**
 * Creates the queue of an instance without estimates.
 *
 * @example
 * createQueue(12).waiting.length; // 0
 */
export function createQueue(slots: number): QueueState {
  const serviceTimes = {sumMs: 0, sumOfProducts: 0};
  return {
    slots,
    running: [],
    waiting: [],
    estimates: [],
    serviceTimes,
    refusedShare: 0,
  };
}

/**
 * Applies an event to the queue. Requests that can still meet their latency
 * objective precede all others; within these two classes, the order is by
 * priority, then short work first, then by expiry. A request is refused on
 * arrival if it would not start in time. Only a small number of late requests
 * may wait, as each takes a slot from a request that could meet its objective;
 * the one that has missed it least is started first.
 *
 * While an instance is overloaded, requests with the most time left until their
 * objective precede those that have waited: as not all of them can be served,
 * this order starts most requests with enough time for their work. Those that
 * are thereby too late are refused as soon as that is foreseeable.
 *
 * Short work delays longer work only a little. It is mostly called by a request
 * that already runs elsewhere and is wasted without it, so its deadline serves
 * as its latency objective.
 *
 * Under overload, most of the requests that an instance runs are thereby
 * answered by their objective, instead of all of them late. A rate limit is
 * handled in the same way: requests start at that rate, and those that would
 * not start in time are refused on arrival.
 *
 * @param now Time in milliseconds, of the same clock as all times in the state.
 *
 * @example
 * const {state, verdicts} = applyQueueEvent(
 *   previous, {kind: 'arrive', request}, performance.now());
 */
export function applyQueueEvent(
  state: QueueState,
  event: QueueEvent,
  now: number,
): QueueStep {
  switch (event.kind) {
    case 'arrive':
      return arrive(state, event.request, now);
    case 'finish':
      return dispatch(finish(state, event.id, event.ran, now), now);
    case 'cancel': {
      const waiting = state.waiting.filter(
        ({request}) => request.id !== event.id,
      );
      return {state: {...state, waiting}, verdicts: []};
    }
    case 'limit': {
      const {perSecond} = event;
      const allowance = withRate(state.allowance, perSecond, now);
      return dispatch({...state, allowance}, now);
    }
    case 'tick':
      return dispatch(state, now);
  }
}

/** Reason for a refusal, and when a retry may succeed. */
type Denial = Pick<
  Extract<QueueVerdict, {readonly kind: 'refuse'}>,
  'reason' | 'retryAfterMs'
>;

/**
 * Returns the refusal that a request would get if it arrived now. The queue is
 * not changed.
 *
 * @param ahead Requests of its kind that arrive before it.
 *
 * @example
 * refusalOf(createQueue(12), request, 0, performance.now()); // undefined
 */
export function refusalOf(
  state: QueueState,
  request: SlotRequest,
  ahead: number,
  now: number,
): Denial | undefined {
  let next = state;
  for (let i = 0; i <= ahead; i++) {
    const id = request.id + i;
    const arrival = {kind: 'arrive', request: {...request, id}} as const;
    const step = applyQueueEvent(next, arrival, now);
    const verdict = step.verdicts.find(known => known.id === id);
    if (verdict?.kind === 'refuse') {
      const {reason, retryAfterMs} = verdict;
      return {reason, retryAfterMs};
    }
    next = step.state;
  }
  return undefined;
}

/**
 * Returns the time at which the next `tick` event is due, or infinity.
 *
 * @example
 * nextQueueTickAt(createQueue(12)); // Infinity
 */
export function nextQueueTickAt(state: QueueState): number {
  const {waiting, running, slots, allowance} = state;
  if (waiting.length === 0) return Infinity;
  const isLimited = allowance !== undefined && running.length < slots;
  let at = isLimited ? tokenAvailableAt(allowance, 0) : Infinity;
  for (const {expiresAt} of waiting) at = Math.min(at, expiresAt);
  return at;
}

/**
 * Returns the time until the rate limit of the instance allows one more
 * request, in milliseconds; 0 without a limit.
 *
 * @example
 * limitDelayMsOf(slots.state(), performance.now());
 */
export function limitDelayMsOf(
  {allowance, waiting}: Pick<QueueState, 'allowance' | 'waiting'>,
  now: number,
): number {
  if (!allowance) return 0;
  return Math.max(0, tokenAvailableAt(allowance, waiting.length) - now);
}

function mayStart(state: QueueState, now: number): boolean {
  const {running, slots, allowance} = state;
  return running.length < slots && hasToken(allowance, now);
}

function arrive(
  state: QueueState,
  request: SlotRequest,
  now: number,
): QueueStep {
  if (now >= request.deadlineAt) {
    return {state, verdicts: [refuse(request, 'deadline', 0)]};
  }
  const settled = dispatch(state, now);
  const candidate = createWaiting(settled.state, request, now);
  const step = admit(countArrival(settled.state, candidate), candidate, now);
  return {...step, verdicts: [...settled.verdicts, ...step.verdicts]};
}

function admit(
  state: QueueState,
  candidate: WaitingRequest,
  now: number,
): QueueStep {
  const {request} = candidate;
  const {slots, waiting, allowance} = state;
  if (mayStart(state, now)) {
    const verdicts = [{kind: 'start', id: request.id} as const];
    return {state: start(state, candidate, now), verdicts};
  }
  const overloaded = isOverloaded(state);
  const ahead = waiting.filter(
    other => compareUrgency(other, candidate, overloaded, now) <= 0,
  );
  const limitMs = limitDelayMsOf({allowance, waiting: ahead}, now);
  const slotMs = untilSlotMs(state, ahead);
  const entry = limitMs > slotMs ? expireAtObjective(candidate) : candidate;
  const startsAt = now + Math.max(limitMs, slotMs);
  const inTime = isInTime(entry, now) && startsAt <= entry.objectiveStartAt;
  const late = waiting.filter(other => !isInTime(other, now));
  const hasRoom = late.length < slots * MAX_LATE_PER_SLOT;
  if (!inTime && (!hasRoom || startsAt > entry.expiresAt)) {
    return refuseAll(state, [entry], now);
  }
  const next = {...state, waiting: [...waiting, entry]};
  return overloaded ? shed(next, now) : {state: next, verdicts: []};
}

/**
 * Refuses waiting requests that would start too late for their objective, the
 * least urgent first, until only one round of all slots waits.
 */
function shed(state: QueueState, now: number): QueueStep {
  const {slots, allowance} = state;
  const ordered = [...state.waiting].sort((a, b) =>
    compareUrgency(a, b, true, now),
  );
  const waiting: WaitingRequest[] = [];
  const refused: WaitingRequest[] = [];
  let slotMs = nextFinishMs(state);
  let longCount = 0;
  for (const entry of ordered) {
    const limitMs = limitDelayMsOf({allowance, waiting}, now);
    const startsAt = now + Math.max(limitMs, slotMs);
    const isLate = startsAt > entry.objectiveStartAt;
    const isSurplus = longCount >= slots * MAX_LATE_PER_SLOT;
    if (isLate && isSurplus && !entry.isShort) {
      refused.push(entry);
      continue;
    }
    waiting.push(entry);
    slotMs += entry.expectedMs / Math.max(1, slots);
    if (!entry.isShort) longCount += 1;
  }
  return refuseAll({...state, waiting}, refused, now);
}

/**
 * Tells whether an answer is worth more by a time before the deadline. Otherwise
 * the earliest deadline comes first under overload, too.
 */
function hasObjective({isShort, request}: WaitingRequest): boolean {
  return !isShort && request.objectiveAt < request.deadlineAt;
}

/** Counts an arrival in the moving mean of refusals. */
function countArrival(state: QueueState, entry: WaitingRequest): QueueState {
  if (!hasObjective(entry)) return state;
  const refusedShare = state.refusedShare * (1 - REFUSED_SHARE_GAIN);
  return {...state, refusedShare};
}

/** Refuses requests that don't wait any more, and counts the refusals. */
function refuseAll(
  state: QueueState,
  refused: readonly WaitingRequest[],
  now: number,
): QueueStep {
  if (refused.length === 0) return {state, verdicts: []};
  const afterMs = retryMs(state, now);
  const verdicts = refused.map(({request}) =>
    refuse(request, 'overloaded', afterMs),
  );
  const isLimited = state.allowance && state.running.length < state.slots;
  if (isLimited) return {state, verdicts};
  const {length} = refused.filter(hasObjective);
  const refusedShare = state.refusedShare + length * REFUSED_SHARE_GAIN;
  return {state: {...state, refusedShare}, verdicts};
}

/**
 * Tells whether a considerable share of the requests can't be served, so that
 * letting each of them wait its turn would make most of them late.
 */
function isOverloaded({refusedShare}: QueueState): boolean {
  return refusedShare > OVERLOAD_SHARE;
}

function createWaiting(
  state: QueueState,
  request: SlotRequest,
  now: number,
): WaitingRequest {
  const {arrivedAt, deadlineAt} = request;
  const expectedMs = expectedMsOf(state, request.kind, now);
  const {sumMs, sumOfProducts} = state.serviceTimes;
  const isShort = expectedMs * sumMs < SHORT_SHARE * sumOfProducts;
  const objectiveAt = isShort ? deadlineAt : request.objectiveAt;
  const deviationMs = meanDeviationMs(state.estimates, request.kind, now);
  const cautiousMs = expectedMs + MARGIN_DEVIATIONS * deviationMs;
  const objectiveMs = objectiveAt - arrivedAt;
  const isOutOfReach = objectiveMs < REACHABLE_SHARE * expectedMs;
  const wholeMs = deadlineAt - arrivedAt;
  const lastStartAt =
    deadlineAt - Math.min(cautiousMs, MAX_WORK_SHARE * wholeMs);
  const objectiveStartAt = isOutOfReach
    ? -Infinity
    : objectiveAt - Math.min(cautiousMs, MAX_WORK_SHARE * objectiveMs);
  const lateUntil =
    Math.max(arrivedAt, objectiveStartAt) + LATE_WAIT_SHARE * wholeMs;
  const expiresAt = Math.min(lastStartAt, lateUntil);
  return {request, expectedMs, isShort, objectiveStartAt, expiresAt};
}

function expectedMsOf(state: QueueState, kind: string, now: number): number {
  const known = meanMs(state.estimates, kind, now);
  return known > 0 ? known : DEFAULT_SERVICE_MS;
}

function isInTime({objectiveStartAt}: WaitingRequest, now: number): boolean {
  return now <= objectiveStartAt;
}

/** Orders waiting requests; the one to start first comes first. */
function compareUrgency(
  a: WaitingRequest,
  b: WaitingRequest,
  overloaded: boolean,
  now: number,
): number {
  const classes = Number(isInTime(b, now)) - Number(isInTime(a, now));
  if (classes !== 0) return classes;
  const priorities = a.request.priority - b.request.priority;
  if (priorities !== 0) return priorities;
  const lengths = Number(b.isShort) - Number(a.isShort);
  if (lengths !== 0) return lengths;
  const isByTimeLeft =
    hasObjective(a) && hasObjective(b) && (overloaded || !isInTime(a, now));
  if (isByTimeLeft && a.objectiveStartAt !== b.objectiveStartAt) {
    return a.objectiveStartAt > b.objectiveStartAt ? -1 : 1;
  }
  return a.expiresAt - b.expiresAt;
}

/**
 * Returns the expected time until the given waiting requests have started and
 * another slot is free.
 */
function untilSlotMs(
  state: QueueState,
  waiting: readonly WaitingRequest[],
): number {
  const workMs = waiting.reduce((sum, {expectedMs}) => sum + expectedMs, 0);
  return nextFinishMs(state) + workMs / Math.max(1, state.slots);
}

/**
 * Limits the wait of a request to the time in which it can meet its latency
 * objective. Under a rate limit, a late request would wait behind all that are
 * in time.
 */
function expireAtObjective(entry: WaitingRequest): WaitingRequest {
  const {objectiveStartAt, expiresAt} = entry;
  if (objectiveStartAt === -Infinity) return entry;
  return {...entry, expiresAt: Math.min(expiresAt, objectiveStartAt)};
}

/**
 * Returns the mean time until the first of several independent requests ends.
 */
function nextFinishMs({running, slots}: QueueState): number {
  if (running.length < slots) return 0;
  let perMs = 0;
  for (const {expectedMs} of running) perMs += 1 / Math.max(1, expectedMs);
  return perMs === 0 ? DEFAULT_SERVICE_MS : 1 / perMs;
}

/**
 * Returns the time until all waiting requests have started, after which a retry
 * may find a free slot.
 */
function retryMs(state: QueueState, now: number): number {
  const slotMs = untilSlotMs(state, state.waiting);
  return Math.max(MIN_RETRY_MS, slotMs, limitDelayMsOf(state, now));
}

function start(
  state: QueueState,
  entry: WaitingRequest,
  now: number,
): QueueState {
  const {request, expectedMs} = entry;
  const running = [...state.running, {request, expectedMs, startedAt: now}];
  const allowance = state.allowance && takeToken(state.allowance, now);
  return {...state, running, allowance};
}

function finish(
  state: QueueState,
  id: number,
  ran: boolean,
  now: number,
): QueueState {
  const entry = state.running.find(({request}) => request.id === id);
  if (!entry) return state;
  const running = state.running.filter(other => other !== entry);
  const {request, startedAt} = entry;
  const tookMs = now - startedAt;
  if (!ran) return {...state, running};
  const estimates = recordDuration(state.estimates, request.kind, tookMs, now);
  const {sumMs, sumOfProducts} = state.serviceTimes;
  const product = tookMs * meanMs(estimates, request.kind, now);
  const serviceTimes = {
    sumMs: sumMs * SERVICE_TIME_DECAY + tookMs,
    sumOfProducts: sumOfProducts * SERVICE_TIME_DECAY + product,
  };
  return {...state, running, estimates, serviceTimes};
}

/** Refuses expired requests and grants free slots. */
function dispatch(state: QueueState, now: number): QueueStep {
  const {waiting} = state;
  if (waiting.length === 0) return {state, verdicts: []};
  const kept = waiting.filter(({expiresAt}) => now < expiresAt);
  const expired = waiting.filter(({expiresAt}) => now >= expiresAt);
  const settled = refuseAll({...state, waiting: kept}, expired, now);
  const verdicts: QueueVerdict[] = [...settled.verdicts];
  let next = settled.state;
  const overloaded = isOverloaded(state);
  while (next.waiting.length > 0 && mayStart(next, now)) {
    const first = next.waiting.reduce((best, other) =>
      compareUrgency(other, best, overloaded, now) < 0 ? other : best,
    );
    const rest = next.waiting.filter(other => other !== first);
    next = start({...next, waiting: rest}, first, now);
    verdicts.push({kind: 'start', id: first.request.id});
  }
  return {state: next, verdicts};
}

function refuse(
  request: SlotRequest,
  reason: FailureReason,
  retryAfterMs: number,
): QueueVerdict {
  return {kind: 'refuse', id: request.id, reason, retryAfterMs};
}
