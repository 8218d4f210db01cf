/** How a question to a daemon, on a connection of its own, ended. */
export type ProbeResult =
  | {readonly kind: 'answered'; readonly tookMs: number}
  /** The new connection was refused: nobody listens. */
  | {readonly kind: 'refused'}
  /** No connection in time: the machine is gone, or the way to it is slow. */
  | {readonly kind: 'unconnected'}
  /** The machine took the connection, but no whole answer came in time. */
  | {readonly kind: 'unanswered'};

/**
 * What the silence of a daemon means.
 *
 * - `heard`: nothing speaks against it.
 * - `late`: others answer sooner; it is passed over where there is a choice.
 * - `still`: its machine takes connections, and nothing answers on them.
 * - `dark`: its machine takes no connections, while others do.
 * - `refused`: its machine says that nobody listens; the process has ended.
 */
export type Liveness = 'heard' | 'late' | 'still' | 'dark' | 'refused';

/** How long answers take, as a moving mean and a moving deviation. */
export interface RoundTripTime {
  readonly meanMs: number;
  readonly deviationMs: number;
  /** Time of the last answer that counts in it, in milliseconds. */
  readonly measuredAt: number;
}

/** What one daemon has heard of another. */
export interface PeerState {
  /** Time at which anything was last heard of it, in milliseconds. */
  readonly lastReceivedAt: number;
  /** Time of the last question, in milliseconds. */
  readonly probedAt: number;
  /** The last question has not ended yet. */
  readonly isProbing: boolean;
  /** How the last question that counts against it ended. */
  readonly lastFailure?: Exclude<ProbeResult['kind'], 'answered'>;
  /** Questions in a row that ended so. */
  readonly failureCount: number;
  /**
   * Time of the first question that counts against it, moved on by the time in
   * which the observer was unwell, in milliseconds.
   */
  readonly failingSince?: number;
  /** End of the last question by which its silence was judged, likewise. */
  readonly evaluatedAt?: number;
  readonly liveness: Liveness;
  readonly roundTrip?: RoundTripTime;
}

/** What was heard of a daemon that was never asked. */
export const NEVER_PROBED: PeerState = {
  lastReceivedAt: -Infinity,
  probedAt: -Infinity,
  isProbing: false,
  failureCount: 0,
  liveness: 'heard',
};

/** The observer itself, by which the silence of a daemon is judged. */
export interface Observer {
  /** Other daemons heard since the question was sent. */
  readonly heard: number;
  /** Other daemons that owe an answer and are not known to be lost. */
  readonly waiting: number;
  /** No other daemon is known that could have been heard. */
  readonly isAlone: boolean;
  /** Time by which timers of the observer were late, in milliseconds. */
  readonly lateMs: number;
}

/** What an observer notices of a daemon. */
export type Observation =
  | {readonly kind: 'asked'}
  /** An answer to any request arrived. */
  | {readonly kind: 'heard'}
  | {
      readonly kind: 'ended';
      readonly reply: ProbeResult;
      readonly observer: Observer;
    };

/**
 * Lateness of a timer from which the observer has a trouble of its own, in
 * milliseconds; a third of the shortest wait for an answer.
 */
export const LATE_TIMER_MS = 100;

/** Answers in a row that prove a loss; one refusal may be for want of room. */
const FAILURES_REQUIRED = 2;

/**
 * Counts an observation. Silence counts only where the observer is well: its
 * timers are in time, at least as many other daemons were heard since the
 * question as keep it waiting, and at least one was unless there is none.
 *
 * Answers fleets whose links and processors are so narrow that answers are late
 * by as much as a lost machine is silent: a busy link or loop of the observer
 * delays the answers of all, a lost machine only its own. A refused connection
 * needs no comparison.
 *
 * @example
 * observeSilence(UNHEARD, {kind: 'asked'}, performance.now()).isAsked; // true
 */
export function applyObservation(
  state: PeerState,
  observation: Observation,
  now: number,
): PeerState {
  switch (observation.kind) {
    case 'asked':
      return {...state, probedAt: now, isProbing: true};
    case 'heard':
      return markAlive(state, now);
    case 'ended': {
      const {reply, observer} = observation;
      const ended = {...state, isAsked: false};
      if (reply.kind === 'answered') {
        const roundTrip = updateRoundTrip(state.roundTrip, reply.tookMs, now);
        return {...markAlive(ended, now), roundTrip: roundTrip};
      }
      if (state.lastReceivedAt > state.probedAt) return ended;
      if (reply.kind !== 'refused' && !isReliable(observer)) {
        return discountTime(ended, now);
      }
      return countFailure(ended, reply.kind, now);
    }
  }
}

function markAlive(state: PeerState, now: number): PeerState {
  const {
    probedAt: probedAt,
    isProbing: isProbing,
    roundTrip: roundTrip,
  } = state;
  return {
    ...NEVER_PROBED,
    lastReceivedAt: now,
    probedAt: probedAt,
    isProbing: isProbing,
    roundTrip: roundTrip,
  };
}

function isReliable({heard, waiting, isAlone, lateMs}: Observer): boolean {
  const hasReference = heard > 0 || isAlone;
  return lateMs < LATE_TIMER_MS && hasReference && heard >= waiting;
}

/** Leaves the time since the last judgement out of the silence. */
function discountTime(state: PeerState, now: number): PeerState {
  const {failingSince: failingSince, evaluatedAt: evaluatedAt = now} = state;
  if (failingSince === undefined) return state;
  const movedTo = failingSince + (now - evaluatedAt);
  return {...state, failingSince: movedTo, evaluatedAt: now};
}

function countFailure(
  state: PeerState,
  failure: Exclude<ProbeResult['kind'], 'answered'>,
  now: number,
): PeerState {
  const failureCount =
    state.lastFailure === failure ? state.failureCount + 1 : 1;
  const failingSince = state.failingSince ?? state.probedAt;
  const liveness = livenessOf(state.liveness, failure, failureCount);
  return {
    ...state,
    lastFailure: failure,
    failureCount: failureCount,
    failingSince: failingSince,
    evaluatedAt: now,
    liveness,
  };
}

/** What each reply proves when it is given several times in a row. */
const LIVENESS_BY_FAILURE = {
  refused: 'refused',
  unconnected: 'dark',
  unanswered: 'still',
} as const;

/** A lost machine stays so until it takes a connection. */
function livenessOf(
  previous: Liveness,
  failure: Exclude<ProbeResult['kind'], 'answered'>,
  failureCount: number,
): Liveness {
  if (failureCount >= FAILURES_REQUIRED) return LIVENESS_BY_FAILURE[failure];
  if (failure === 'unanswered') return 'late';
  return previous === 'heard' ? 'late' : previous;
}

/** Weights of the newest answer, as in the estimate of RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations beyond the mean after which an answer is unusual (RFC 6298). */
const DEVIATIONS = 4;

/** Time after which an answer tells nothing of now, in milliseconds. */
const ROUND_TRIP_MAX_AGE_MS = 10_000;

/**
 * Counts the time of an answer.
 *
 * @example
 * learnUsual(undefined, 40, performance.now()).meanMs; // 40
 */
export function updateRoundTrip(
  previous: RoundTripTime | undefined,
  tookMs: number,
  now: number,
): RoundTripTime {
  if (!previous || now - previous.measuredAt > ROUND_TRIP_MAX_AGE_MS) {
    return {meanMs: tookMs, deviationMs: tookMs / 2, measuredAt: now};
  }
  const error = tookMs - previous.meanMs;
  const {meanMs, deviationMs} = previous;
  return {
    meanMs: meanMs + MEAN_WEIGHT * error,
    deviationMs:
      deviationMs + DEVIATION_WEIGHT * (Math.abs(error) - deviationMs),
    measuredAt: now,
  };
}

/**
 * Bounds of the wait for a connection, in milliseconds: one lost packet and its
 * repetition after the shortest time of usual kernels; and a repeated opening
 * packet, which is sent after a second.
 */
const CONNECT_TIMEOUT_MS = {min: 300, max: 1200};

/**
 * Wait for an answer where the connection was taken, in milliseconds: a kernel
 * that answers leaves slowness likelier than a loss, and with the silence before
 * it comes to one and a half seconds.
 */
const ANSWER_TIMEOUT_MS = 1000;

/** Time limits of one question, in milliseconds from its start. */
export interface ProbeTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

/**
 * Returns how long the answer to a question is waited for: what is usual for
 * that daemon and for all, doubled for each question without a connection.
 *
 * @param overall How long answers of all daemons take.
 *
 * @example
 * questionLimits(UNHEARD, undefined, performance.now()).connectMs; // 300
 */
export function probeTimeouts(
  state: PeerState,
  overall: RoundTripTime | undefined,
  now: number,
): ProbeTimeouts {
  const expectedMs = Math.max(
    upperBoundMs(state.roundTrip, now),
    upperBoundMs(overall, now),
  );
  const {lastFailure: lastFailure, failureCount: failureCount} = state;
  const backoff =
    lastFailure === 'unconnected' ? 2 ** Math.min(failureCount, 2) : 1;
  const {min: min, max: max} = CONNECT_TIMEOUT_MS;
  const connectMs = Math.min(max, Math.max(min, expectedMs) * backoff);
  return {connectMs, answerMs: Math.max(ANSWER_TIMEOUT_MS, connectMs)};
}

function upperBoundMs(
  roundTrip: RoundTripTime | undefined,
  now: number,
): number {
  if (!roundTrip || now - roundTrip.measuredAt > ROUND_TRIP_MAX_AGE_MS)
    return 0;
  return roundTrip.meanMs + DEVIATIONS * roundTrip.deviationMs;
}

/** Time for which a question that did not end well tells of now. */
const RECENT_FAILURE_MS = 2000;

/**
 * Counts the other daemons that the observer has heard since a question to one
 * of them was sent, and those that keep it waiting.
 *
 * @example
 * const {heard, waiting} = compareOthers(hearings, '10.1.0.8:7620', now);
 */
export function countOthers(
  states: ReadonlyMap<string, PeerState>,
  node: string,
  now: number,
): Pick<Observer, 'heard' | 'waiting'> {
  const since = states.get(node)?.probedAt ?? now;
  let heard = 0;
  let waiting = 0;
  for (const [
    other,
    {
      lastReceivedAt: lastReceivedAt,
      probedAt: probedAt,
      isProbing: isProbing,
      lastFailure: lastFailure,
      liveness,
    },
  ] of states) {
    if (other === node) continue;
    if (lastReceivedAt >= since) heard += 1;
    else if (isFailed(liveness)) continue;
    else if (isProbing || (lastFailure && now - probedAt < RECENT_FAILURE_MS))
      waiting += 1;
  }
  return {heard, waiting};
}

function isFailed(liveness: Liveness): boolean {
  return liveness !== 'heard' && liveness !== 'late';
}

/**
 * Returns a daemon to ask whether the observer hears anyone at all: any that is
 * not known to be lost. One that was heard lately may be lost as well, with its
 * failure domain, so the choice is random and the next one may be another.
 *
 * @param others Daemons that are known, with or without the excluded ones.
 * @param random Number from 0 to less than 1.
 * @returns undefined where there is no third daemon.
 *
 * @example
 * const control = chooseControl(hearings, members, [own, node], Math.random());
 */
export function chooseControlPeer(
  states: ReadonlyMap<string, PeerState>,
  others: Iterable<string>,
  excluded: readonly string[],
  random: number,
): string | undefined {
  const choices = [...others].filter(other => {
    const {liveness} = states.get(other) ?? NEVER_PROBED;
    return !excluded.includes(other) && !isFailed(liveness);
  });
  return choices[Math.floor(random * choices.length)];
}

/** What is known of a daemon that may be silent. */
export interface PeerStatus {
  readonly liveness: Liveness;
  /** Time since anything was heard of it, in milliseconds. */
  readonly quietMs: number;
  /**
   * Time from the first question that counts against it to the end of the last
   * one, without that in which the observer was unwell, in milliseconds.
   */
  readonly failingMs: number;
}

/**
 * Returns what is known now of a daemon.
 *
 * @example
 * silenceOf(UNHEARD, performance.now()).liveness; // 'heard'
 */
export function peerStatusOf(state: PeerState, now: number): PeerStatus {
  const {
    liveness,
    lastReceivedAt: lastReceivedAt,
    failingSince: failingSince = 0,
    evaluatedAt: evaluatedAt = 0,
  } = state;
  return {
    liveness,
    quietMs: now - lastReceivedAt,
    failingMs: evaluatedAt - failingSince,
  };
}

/** A request that a daemon has not answered yet. */
export interface PendingRequest {
  /** Time since it was forwarded, in milliseconds. */
  readonly pendingMs: number;
  /** A part of it was written to a connection. */
  readonly isSent: boolean;
  /** It is idempotent, and its body is at hand. */
  readonly isRepeatable: boolean;
  /** Another instance may run it. */
  readonly hasAlternative: boolean;
  /** Time by which the timer of this look was late, in milliseconds. */
  readonly lateMs: number;
}

/** What to do about a request that has no answer yet. */
export type PendingStep =
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'ask'; readonly ms: number}
  | {readonly kind: 'give-up'};

/**
 * Silence of a daemon after which it is asked, in milliseconds: most requests
 * are answered by then, and a lost machine is known with the limits above
 * within one and a half seconds.
 */
const PROBE_AFTER_MS = 400;

/** Interval between two looks at what a question has shown, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Decides on a request without an answer. One that may have run already and
 * must not run again is ended only when the process is known to have ended, as
 * a late answer is worth more to its caller than none. Any other is given up
 * when its daemon is lost. Where the daemon is only late, nothing that was sent
 * is given up, as its answer is likelier than that of another attempt; what was
 * not sent is, where another instance may run it. A look whose timer was late
 * decides nothing: what has arrived meanwhile is not read yet.
 *
 * @example
 * decideSilence(silence, pending).kind; // 'wait'
 */
export function decidePending(
  status: PeerStatus,
  pending: PendingRequest,
): PendingStep {
  const {liveness} = status;
  const {
    isSent,
    isRepeatable,
    hasAlternative: hasAlternative,
    pendingMs,
    lateMs,
  } = pending;
  if (lateMs >= LATE_TIMER_MS) return {kind: 'wait', ms: CHECK_INTERVAL_MS};
  const isSafeToRepeat = !isSent || isRepeatable;
  if (liveness === 'refused') return {kind: 'give-up'};
  const isUnavailable = liveness === 'dark' || liveness === 'still';
  if (isUnavailable && isSafeToRepeat) return {kind: 'give-up'};
  const quietMs = Math.min(pendingMs, status.quietMs);
  if (quietMs >= PROBE_AFTER_MS) {
    const isMovable = liveness === 'late' && !isSent && hasAlternative;
    return isMovable ? {kind: 'give-up'} : {kind: 'ask', ms: CHECK_INTERVAL_MS};
  }
  return {kind: 'wait', ms: Math.max(1, PROBE_AFTER_MS - quietMs)};
}

/**
 * Silence after which a member is lost, in milliseconds: three questions a
 * second apart, the interval of plans. A process that stands still behind a
 * kernel that answers is let be for as long as its keys are held without it.
 */
const LOST_MS = {unreachable: 2000, unresponsive: 5000};

/**
 * Tells whether a member is silent for so long that its keys are given to
 * others. One that is only late is not: nothing proves a loss.
 *
 * @example
 * isLost(silenceOf(UNHEARD, performance.now())); // false
 */
export function isLost({liveness, failingMs: silentMs}: PeerStatus): boolean {
  if (liveness === 'heard' || liveness === 'late') return false;
  const isDown = liveness === 'dark' || liveness === 'refused';
  return silentMs >= (isDown ? LOST_MS.unreachable : LOST_MS.unresponsive);
}
