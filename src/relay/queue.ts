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

/** A request that asks for a slot of an instance. Times are in milliseconds. */
export interface SlotRequest {
  readonly id: number;
  /** Requests of one kind share an estimate of the time they take. */
  readonly kind: string;
  /** Lower ones go first. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Time by which it is to be answered to count in full. */
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
  /** It takes much less than most of what the instance does. */
  readonly isShort: boolean;
  /** Latest start from which it is likely answered by its objective. */
  readonly objectiveStartAt: number;
  /** Time at which it is given up. */
  readonly expiresAt: number;
}

/** The slots of one instance and the requests that wait for them. */
export interface QueueState {
  readonly slots: number;
  readonly running: readonly RunningRequest[];
  readonly waiting: readonly WaitingRequest[];
  readonly estimates: readonly Estimate[];
  readonly serviceTimes: ServiceTimes;
  /** Requests that may start now where the instance names a limit. */
  readonly allowance?: TokenBucket;
}

/**
 * Moving sums over the requests that have run; their quotient is the length of
 * the request that a slot is busy with at a random moment.
 */
export interface ServiceTimes {
  readonly sumMs: number;
  readonly sumOfSquares: number;
}

/** What changes the queue. */
export type QueueEvent =
  | {readonly kind: 'arrive'; readonly request: SlotRequest}
  /** @param ran The instance ran it whole, so that its time tells something. */
  | {readonly kind: 'finish'; readonly id: number; readonly ran: boolean}
  | {readonly kind: 'cancel'; readonly id: number}
  /** @param perSecond Requests that the instance takes; undefined: any number. */
  | {readonly kind: 'limit'; readonly perSecond?: number}
  | {readonly kind: 'tick'};

/** What becomes of a request. */
export type QueueVerdict =
  | {readonly kind: 'start'; readonly id: number}
  | {
      readonly kind: 'refuse';
      readonly id: number;
      readonly reason: FailureReason;
      readonly retryAfterMs: number;
    };

/** The state after an event and the requests that it decided on. */
export interface QueueStep {
  readonly state: QueueState;
  readonly verdicts: readonly QueueVerdict[];
}

/** Time of a kind of which nothing is known; about that of a short request. */
const DEFAULT_SERVICE_MS = 50;

/**
 * Mean deviations above the mean that a request is expected to stay under; about
 * four of five do.
 */
const MARGIN_DEVIATIONS = 1;

/**
 * Largest share of a request's whole time that is kept for its work, so that
 * one with little time still waits for a short queue.
 */
const MAX_WORK_SHARE = 0.75;

/**
 * Share of its expected time below which an objective is out of reach: hardly
 * any request takes less.
 */
const REACHABLE_SHARE = 0.5;

/**
 * Length relative to what slots are mostly busy with below which work is short,
 * so that it delays other work by less than half a turn.
 */
const SHORT_SHARE = 0.5;

/**
 * Share that a request keeps in the moving sums when the next one has run: the
 * last fifty make up most of them, a second or two of a busy instance.
 */
const SERVICE_TIME_DECAY = 0.98;

/** Late requests that wait for one slot, at most; one turn of all slots. */
const MAX_LATE_PER_SLOT = 1;

/**
 * Share of its time for which a late request waits; then it is told to return.
 * Callers obey a Retry-After for about as long.
 */
const LATE_WAIT_SHARE = 0.35;

/**
 * Shortest Retry-After of an instance without room, in milliseconds: about the
 * time of one request, after which a slot is free.
 */
const MIN_RETRY_MS = 150;

/**
 * Creates the queue of an instance of which nothing is known.
 *
 * @example
 * createQueue(12).waiting.length; // 0
 */
export function createQueue(slots: number): QueueState {
  const serviceTimes = {sumMs: 0, sumOfSquares: 0};
  return {
    slots,
    running: [],
    waiting: [],
    estimates: [],
    serviceTimes: serviceTimes,
  };
}

/**
 * Applies an event to the queue. A request that can still meet its objective
 * goes before all that can't; within these two classes the priority decides,
 * then short work goes first, then what has least time left. A request is
 * refused on arrival when it would not be reached in time, and late ones wait
 * only in small number, as each of them takes a slot from one that would count
 * in full.
 *
 * Short work delays longer work by little, and it is mostly called by a request
 * that already runs elsewhere and is wasted without it; for this reason it
 * counts in full up to its deadline.
 *
 * Answers an instance that is asked for more than it can run: what it runs is
 * mostly answered by its objective, instead of all of it late. Answers one that
 * names a limit in the same way: requests start at that rate, and those that
 * would not start in time are refused on arrival.
 *
 * @param now Time in milliseconds, of the clock of all times in the state.
 *
 * @example
 * const {state, verdicts} = applyQueueEvent(
 *   before, {kind: 'arrive', request}, performance.now());
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

/** Why a request is not taken, and when a repeat makes sense. */
type Denial = Pick<
  Extract<QueueVerdict, {readonly kind: 'refuse'}>,
  'reason' | 'retryAfterMs'
>;

/**
 * Tells whether a request would be refused if it arrived now. The queue stays as
 * it is.
 *
 * @param ahead Requests of its kind that are to arrive before it.
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
 * Returns the time at which a `tick` is due, or infinity.
 *
 * @example
 * nextQueueTickAt(createQueue(12)); // Infinity
 */
export function nextQueueTickAt(state: QueueState): number {
  const {waiting, running, slots, allowance} = state;
  if (waiting.length === 0) return Infinity;
  const isLimited = allowance !== undefined && running.length < slots;
  let at = isLimited ? tokenAvailableAt(allowance, 0) : Infinity;
  for (const {expiresAt: expiresAt} of waiting) at = Math.min(at, expiresAt);
  return at;
}

/**
 * Returns the time until the limit of the instance allows one more request, in
 * milliseconds; 0 without a limit.
 *
 * @example
 * limitedMs(slots.state(), performance.now());
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
  const {slots, waiting, allowance} = settled.state;
  if (mayStart(settled.state, now)) {
    const next = start(settled.state, candidate, now);
    return {
      state: next,
      verdicts: [...settled.verdicts, {kind: 'start', id: request.id}],
    };
  }
  const verdicts = [...settled.verdicts];
  const ahead = waiting.filter(
    other => compareUrgency(other, candidate, now) <= 0,
  );
  const limitMs = limitDelayMsOf({allowance, waiting: ahead}, now);
  const slotMs = untilSlotMs(settled.state, ahead);
  const entry = limitMs > slotMs ? expireAtObjective(candidate) : candidate;
  const startsAt = now + Math.max(limitMs, slotMs);
  const inTime = isInTime(entry, now) && startsAt <= entry.objectiveStartAt;
  const late = waiting.filter(other => !isInTime(other, now));
  const hasRoom = late.length < slots * MAX_LATE_PER_SLOT;
  if (!inTime && (!hasRoom || startsAt > entry.expiresAt)) {
    const afterMs = retryMs(settled.state, now);
    verdicts.push(refuse(request, 'overloaded', afterMs));
    return {state: settled.state, verdicts};
  }
  return {
    state: {...settled.state, waiting: [...waiting, entry]},
    verdicts,
  };
}

function createWaiting(
  state: QueueState,
  request: SlotRequest,
  now: number,
): WaitingRequest {
  const {arrivedAt, deadlineAt} = request;
  const expectedMs = expectedMsOf(state, request.kind, now);
  const {sumMs, sumOfSquares} = state.serviceTimes;
  const isShort = expectedMs * sumMs < SHORT_SHARE * sumOfSquares;
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
  return {request, expectedMs, isShort, objectiveStartAt, expiresAt: expiresAt};
}

function expectedMsOf(state: QueueState, kind: string, now: number): number {
  const known = meanMs(state.estimates, kind, now);
  return known > 0 ? known : DEFAULT_SERVICE_MS;
}

function isInTime({objectiveStartAt}: WaitingRequest, now: number): boolean {
  return now <= objectiveStartAt;
}

/** Sorts what is to start first to the front. */
function compareUrgency(
  a: WaitingRequest,
  b: WaitingRequest,
  now: number,
): number {
  const classes = Number(isInTime(b, now)) - Number(isInTime(a, now));
  if (classes !== 0) return classes;
  const priorities = a.request.priority - b.request.priority;
  if (priorities !== 0) return priorities;
  const lengths = Number(b.isShort) - Number(a.isShort);
  if (lengths !== 0) return lengths;
  return a.expiresAt - b.expiresAt;
}

/** Expected time until some that wait have started and a slot is free again. */
function untilSlotMs(
  state: QueueState,
  waiting: readonly WaitingRequest[],
): number {
  const workMs = waiting.reduce((sum, {expectedMs}) => sum + expectedMs, 0);
  return nextFinishMs(state) + workMs / Math.max(1, state.slots);
}

/**
 * Lets a request wait only as long as it can meet its objective. Where a limit
 * decides what starts, one that is late would wait behind all that are in time.
 */
function expireAtObjective(entry: WaitingRequest): WaitingRequest {
  const {objectiveStartAt, expiresAt: expiresAt} = entry;
  if (objectiveStartAt === -Infinity) return entry;
  return {...entry, expiresAt: Math.min(expiresAt, objectiveStartAt)};
}

/** Mean time to the first of several independent finishes. */
function nextFinishMs({running, slots}: QueueState): number {
  if (running.length < slots) return 0;
  let perMs = 0;
  for (const {expectedMs} of running) perMs += 1 / Math.max(1, expectedMs);
  return perMs === 0 ? DEFAULT_SERVICE_MS : 1 / perMs;
}

/** Time until what waits has started: then a repeat may find room. */
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
  const {sumMs, sumOfSquares} = state.serviceTimes;
  const serviceTimes = {
    sumMs: sumMs * SERVICE_TIME_DECAY + tookMs,
    sumOfSquares: sumOfSquares * SERVICE_TIME_DECAY + tookMs * tookMs,
  };
  return {...state, running, estimates, serviceTimes: serviceTimes};
}

/** Gives up what has waited too long and gives free slots away. */
function dispatch(state: QueueState, now: number): QueueStep {
  const {waiting} = state;
  if (waiting.length === 0) return {state, verdicts: []};
  const verdicts: QueueVerdict[] = [];
  const kept = waiting.filter(({expiresAt: giveUpAt}) => now < giveUpAt);
  let next: QueueState = {...state, waiting: kept};
  if (kept.length < waiting.length) {
    const afterMs = retryMs(next, now);
    for (const {request, expiresAt: giveUpAt} of waiting) {
      if (now < giveUpAt) continue;
      verdicts.push(refuse(request, 'overloaded', afterMs));
    }
  }
  while (next.waiting.length > 0 && mayStart(next, now)) {
    const first = next.waiting.reduce((best, other) =>
      compareUrgency(other, best, now) < 0 ? other : best,
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
