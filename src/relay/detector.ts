/** Result of a probe of a daemon on a new connection. */
export type ProbeResult =
  | {readonly kind: 'answered'; readonly tookMs: number}
  /** Connection refused: no process listens on the port. */
  | {readonly kind: 'refused'}
  /** Connect timeout: the machine or the network path is down or slow. */
  | {readonly kind: 'unconnected'}
  /**
   * The machine accepted the connection, but no complete answer arrived in
   * time.
   */
  | {readonly kind: 'unanswered'};

/**
 * State of a daemon as the failure detector sees it.
 *
 * - `alive`: no failure was observed.
 * - `suspect`: probes have failed, but not often enough to prove a failure;
 *   other instances are preferred.
 * - `unresponsive`: its machine accepts connections, but the process does not
 *   answer.
 * - `unreachable`: its machine accepts no connections, while others do.
 * - `refused`: its machine refuses connections, so the process has ended.
 */
export type Liveness =
  'alive' | 'suspect' | 'unresponsive' | 'unreachable' | 'refused';

/** Moving mean and mean deviation of the round-trip time. */
export interface RoundTripTime {
  readonly meanMs: number;
  readonly deviationMs: number;
  /** Time of the newest sample, in milliseconds. */
  readonly measuredAt: number;
}

/** State of the failure detector for one daemon. */
export interface PeerState {
  /** Time of the last answer to any request, in milliseconds. */
  readonly lastReceivedAt: number;
  /**
   * Time at which the machine last accepted a connection after it had accepted
   * none, in milliseconds.
   */
  readonly acceptedAt: number;
  /** Start of the last probe, in milliseconds. */
  readonly probedAt: number;
  /** The last probe is in progress. */
  readonly isProbing: boolean;
  /** Result of the last probe that counts as a failure. */
  readonly lastFailure?: Exclude<ProbeResult['kind'], 'answered'>;
  /** Consecutive probes with this result. */
  readonly failureCount: number;
  /**
   * Probes since the last answer whose connection was not accepted in time, while
   * one was accepted after it.
   */
  readonly lateAcceptances: number;
  /**
   * Start of the first failed probe, moved forward by the time in which the
   * observer was unreliable, in milliseconds.
   */
  readonly failingSince?: number;
  /** End of the last probe that was evaluated, in milliseconds. */
  readonly evaluatedAt?: number;
  readonly liveness: Liveness;
  readonly roundTrip?: RoundTripTime;
}

/** State of a daemon that was never probed. */
export const NEVER_PROBED: PeerState = {
  lastReceivedAt: -Infinity,
  acceptedAt: -Infinity,
  probedAt: -Infinity,
  isProbing: false,
  failureCount: 0,
  lateAcceptances: 0,
  liveness: 'alive',
};

/**
 * Condition of the observing process and its network, against which the failed
 * probe of a daemon is checked.
 */
export interface Observer {
  /** Other daemons that answered since the probe was sent. */
  readonly heard: number;
  /**
   * Other daemons that have not answered since then, are not known to have
   * failed, and are being probed, or had a failed probe that counts and were
   * last probed less than 2 seconds ago.
   */
  readonly waiting: number;
  /**
   * No daemon is available for a comparison: no other has answered since then,
   * and all known ones, except the observer and the probed daemon, are known to
   * have failed.
   */
  readonly isAlone: boolean;
  /** Delay of the timers of the observer, in milliseconds. */
  readonly lateMs: number;
}

/** An event that the failure detector observes for a daemon. */
export type Observation =
  | {readonly kind: 'probe-started'}
  /** An answer to any request arrived. */
  | {readonly kind: 'answer-received'}
  /**
   * The answer to a probe arrived after the probe had timed out.
   *
   * @param startedAt Start of that probe, in milliseconds.
   */
  | {readonly kind: 'answered-late'; readonly startedAt: number}
  /**
   * A new connection was accepted, of a probe or of a request.
   *
   * @param startedAt Start of the attempt, in milliseconds, if known.
   */
  | {readonly kind: 'connection-accepted'; readonly startedAt?: number}
  | {
      readonly kind: 'probe-ended';
      readonly reply: ProbeResult;
      readonly observer: Observer;
    };

/**
 * Timer delay at or above which the observer counts as unreliable, in
 * milliseconds: a third of the shortest wait for an answer.
 */
export const LATE_TIMER_MS = 100;

/**
 * Equal results in a row that prove a failure; a single refusal may be due to a
 * full accept queue.
 */
const FAILURES_REQUIRED = 2;

/**
 * Late acceptances without an answer that prove that the process does not answer:
 * an answer comes soon after its connection, however full the link is.
 */
const LATE_ACCEPTANCES_REQUIRED = 4;

/**
 * Applies an observation to the state of a daemon. A failed probe is ignored if
 * an answer has arrived since it started, and one that found no process or no
 * machine also if a connection was accepted since. Such a failure is one of an
 * earlier process, or of a path that works again, once a connection is accepted:
 * the daemon is only suspected until it answers, or until several connections
 * were accepted without any answer. Two equal failures in a row, of those
 * that count, prove a failure. A timeout counts only if the observer is
 * reliable: its timers are on time, at least as many other daemons answered
 * since the probe as are still to answer, and at least one answered, unless
 * none is available for a comparison.
 *
 * An answer that arrives after its probe has timed out ends every suspicion, and
 * counts for the round-trip time, which would otherwise be that of the answers
 * in time; unless its process was found to have ended since.
 *
 * On narrow links and slow processors, answers can be delayed as long as those
 * of a failed machine. A busy link or event loop of the observer delays the
 * answers of all daemons; a failed machine only its own. A refused connection
 * needs no comparison.
 *
 * @example
 * const observation = {kind: 'probe-started'} as const;
 * applyObservation(NEVER_PROBED, observation, now).isProbing; // true
 */
export function applyObservation(
  state: PeerState,
  observation: Observation,
  now: number,
): PeerState {
  switch (observation.kind) {
    case 'probe-started':
      return {...state, probedAt: now, isProbing: true};
    case 'answer-received':
      return markAlive(state, now);
    case 'answered-late': {
      const {startedAt} = observation;
      if (isOfEndedProcess(state, startedAt)) return state;
      const tookMs = now - startedAt;
      const roundTrip = updateRoundTrip(state.roundTrip, tookMs, now);
      return {...markAlive(state, now), roundTrip};
    }
    case 'connection-accepted':
      return isOfEndedProcess(state, observation.startedAt)
        ? state
        : markAccepting(state, now);
    case 'probe-ended': {
      const {reply, observer} = observation;
      const ended = {...state, isProbing: false};
      if (reply.kind === 'answered') {
        const roundTrip = updateRoundTrip(state.roundTrip, reply.tookMs, now);
        return {...markAlive(ended, now), roundTrip};
      }
      if (state.lastReceivedAt > state.probedAt) return ended;
      const isAcceptedSince = state.acceptedAt > state.probedAt;
      if (isAcceptedSince && reply.kind === 'refused') return ended;
      if (isAcceptedSince && reply.kind === 'unconnected') {
        return countLateAcceptance(ended, now);
      }
      if (reply.kind !== 'refused' && !isReliable(observer)) {
        return discountTime(ended, now);
      }
      return countFailure(ended, reply.kind, now);
    }
  }
}

/**
 * Tells whether an attempt began before a probe that found no process, so that it
 * shows nothing of the next one.
 */
function isOfEndedProcess(
  {lastFailure, probedAt}: PeerState,
  startedAt = Infinity,
): boolean {
  return lastFailure === 'refused' && startedAt < probedAt;
}

function markAlive(state: PeerState, now: number): PeerState {
  const {probedAt, isProbing, roundTrip} = state;
  return {...NEVER_PROBED, lastReceivedAt: now, probedAt, isProbing, roundTrip};
}

/** Failures of a daemon that accepts no connections. */
const UNACCEPTED: ReadonlySet<PeerState['lastFailure']> = new Set([
  'refused',
  'unconnected',
]);

function markAccepting(state: PeerState, now: number): PeerState {
  const {lastFailure} = state;
  if (!UNACCEPTED.has(lastFailure)) {
    return state.isProbing ? {...state, acceptedAt: now} : state;
  }
  const accepting = {
    ...state,
    acceptedAt: now,
    liveness: 'suspect',
    lastFailure: undefined,
    failureCount: 0,
  } as const;
  return lastFailure === 'unconnected'
    ? countLateAcceptance(accepting, now)
    : {...accepting, lateAcceptances: 0};
}

function countLateAcceptance(state: PeerState, now: number): PeerState {
  const lateAcceptances = state.lateAcceptances + 1;
  const isProved = lateAcceptances >= LATE_ACCEPTANCES_REQUIRED;
  return {
    ...state,
    lateAcceptances,
    failingSince: state.failingSince ?? state.probedAt,
    evaluatedAt: now,
    liveness: isProved ? 'unresponsive' : state.liveness,
  };
}

function isReliable({heard, waiting, isAlone, lateMs}: Observer): boolean {
  const hasReference = heard > 0 || isAlone;
  return lateMs < LATE_TIMER_MS && hasReference && heard >= waiting;
}

/** Excludes the time since the last evaluation from the failure time. */
function discountTime(state: PeerState, now: number): PeerState {
  const {failingSince, evaluatedAt = now} = state;
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
    failureCount,
    failingSince,
    evaluatedAt: now,
    liveness,
  };
}

/** State that a probe result proves when it occurs several times in a row. */
const LIVENESS_BY_FAILURE = {
  refused: 'refused',
  unconnected: 'unreachable',
  unanswered: 'unresponsive',
} as const;

/** A failed machine keeps its state until it accepts a connection. */
function livenessOf(
  previous: Liveness,
  failure: Exclude<ProbeResult['kind'], 'answered'>,
  failureCount: number,
): Liveness {
  if (failureCount >= FAILURES_REQUIRED) return LIVENESS_BY_FAILURE[failure];
  if (failure === 'unanswered') return 'suspect';
  return previous === 'alive' ? 'suspect' : previous;
}

/** Weights of the newest sample, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/**
 * Deviations above the mean that bound the expected round-trip time (RFC 6298).
 */
const DEVIATIONS = 4;

/** Age from which a round-trip time is discarded, in milliseconds. */
const ROUND_TRIP_MAX_AGE_MS = 10_000;

/**
 * Adds a sample to a round-trip time.
 *
 * @example
 * updateRoundTrip(undefined, 40, performance.now()).meanMs; // 40
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
 * Bounds of the connect timeout, in milliseconds: at least one retransmission
 * of a lost packet after the shortest timeout of common kernels, at most one
 * retransmission of a SYN, which is sent after a second.
 */
const CONNECT_TIMEOUT_MS = {min: 300, max: 1200};

/**
 * Timeout of the answer after a connection was accepted, in milliseconds. An
 * answering kernel makes a slow process likelier than a failure; with the
 * preceding silence the detection takes one and a half seconds.
 */
const ANSWER_TIMEOUT_MS = 1000;

/** Timeouts of one probe, in milliseconds from its start. */
export interface ProbeTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

/**
 * Returns the timeouts of a probe. The connect timeout is an upper bound of the
 * round-trip time of the daemon or of all daemons, whichever is longer, and at
 * least 300 ms; it is doubled for each of up to two connect timeouts in a row
 * that precede the probe, and is at most 1200 ms. The answer timeout is
 * 1 second, or the connect timeout if that is longer.
 *
 * @param overall Round-trip time of all daemons.
 *
 * @example
 * probeTimeouts(NEVER_PROBED, undefined, performance.now()).connectMs; // 300
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
  const {lastFailure, failureCount} = state;
  const backoff =
    lastFailure === 'unconnected' ? 2 ** Math.min(failureCount, 2) : 1;
  const {min, max} = CONNECT_TIMEOUT_MS;
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

/** Time for which a failed probe counts as current, in milliseconds. */
const RECENT_FAILURE_MS = 2000;

/**
 * Counts the other daemons that have answered since a daemon was probed, and
 * those that have not answered since then, are not known to have failed, and
 * are being probed, or had a failed probe that counts and were last probed less
 * than 2 seconds ago.
 *
 * @example
 * const {heard, waiting} = countOthers(states, '10.1.0.8:7620', now);
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
    {lastReceivedAt, probedAt, isProbing, lastFailure, liveness},
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
  return liveness !== 'alive' && liveness !== 'suspect';
}

/**
 * Chooses a daemon for a control probe, which tells whether the observer
 * reaches any daemon at all. Daemons known to have failed are excluded. A
 * daemon that answered recently may have failed together with its failure
 * domain, so the choice is random, and the next one may differ.
 *
 * @param others Known daemons; may contain the excluded ones.
 * @param random Number from 0 to less than 1.
 * @returns undefined if every known daemon is excluded or known to have failed.
 *
 * @example
 * const control =
 *   chooseControlPeer(states, members, [own, node], Math.random());
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

/** Status of a daemon at one time, as the failure detector sees it. */
export interface PeerStatus {
  readonly liveness: Liveness;
  /** Time since the last answer to any request, in milliseconds. */
  readonly quietMs: number;
  /**
   * Time from the start of the first failed probe to the end of the last one,
   * without the time in which the observer was unreliable, in milliseconds.
   */
  readonly failingMs: number;
}

/**
 * Returns the current status of a daemon.
 *
 * @example
 * peerStatusOf(NEVER_PROBED, performance.now()).liveness; // 'alive'
 */
export function peerStatusOf(state: PeerState, now: number): PeerStatus {
  const {liveness, lastReceivedAt, failingSince = 0, evaluatedAt = 0} = state;
  return {
    liveness,
    quietMs: now - lastReceivedAt,
    failingMs: evaluatedAt - failingSince,
  };
}

/** A forwarded request that is not answered yet. */
export interface PendingRequest {
  /** Time since it was forwarded, in milliseconds. */
  readonly pendingMs: number;
  /** A part of it was written to a connection. */
  readonly isSent: boolean;
  /** It is idempotent, and its body is buffered. */
  readonly isRepeatable: boolean;
  /** It could be sent to another instance now. */
  readonly hasAlternative: boolean;
  /** Delay of the timer of this check, in milliseconds. */
  readonly lateMs: number;
}

/** Next step for a request that is not answered yet. */
export type PendingStep =
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'probe'; readonly ms: number}
  | {readonly kind: 'give-up'};

/**
 * Time without an answer after which a daemon is probed, in milliseconds: most
 * requests are answered by then, and with the limits above a failed machine is
 * detected within one and a half seconds.
 */
const PROBE_AFTER_MS = 400;

/**
 * Interval of the checks of a request while a probe is in progress, in
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 100;

/**
 * Decides how to proceed with an unanswered request.
 *
 * - If it may have run and must not run again, it is aborted only when the
 *   process is known to have ended; a late answer is worth more to its caller
 *   than none.
 * - Any other request is aborted when its daemon has failed. One that was sent is
 *   kept while no other instance can run it, as the daemon may be late, its
 *   accept queue full, or its link; until its probes have failed for 10 s.
 * - If the daemon is suspected, a request that was sent is kept, as its answer
 *   is likelier than that of another attempt. One that was not sent is aborted
 *   after 400 ms without any answer from the daemon if another instance may run
 *   it.
 *
 * After 400 ms without any answer from the daemon, a request that is not
 * aborted requests a probe (step `probe`).
 *
 * A check whose timer was late decides nothing, as answers that have arrived in
 * the meantime may not have been read yet.
 *
 * @example
 * decidePending(status, pending).kind; // 'wait'
 */
export function decidePending(
  status: PeerStatus,
  pending: PendingRequest,
): PendingStep {
  const {liveness} = status;
  const {isSent, isRepeatable, hasAlternative, pendingMs, lateMs} = pending;
  if (lateMs >= LATE_TIMER_MS) return {kind: 'wait', ms: CHECK_INTERVAL_MS};
  const isSafeToRepeat = !isSent || isRepeatable;
  if (liveness === 'refused') return {kind: 'give-up'};
  const isUnavailable =
    liveness === 'unreachable' || liveness === 'unresponsive';
  const isReplaceable =
    !isSent || hasAlternative || status.failingMs >= SILENT_MS;
  if (isUnavailable && isSafeToRepeat && isReplaceable)
    return {kind: 'give-up'};
  const quietMs = Math.min(pendingMs, status.quietMs);
  if (quietMs >= PROBE_AFTER_MS) {
    const isMovable = liveness === 'suspect' && !isSent && hasAlternative;
    return isMovable
      ? {kind: 'give-up'}
      : {kind: 'probe', ms: CHECK_INTERVAL_MS};
  }
  return {kind: 'wait', ms: Math.max(1, PROBE_AFTER_MS - quietMs)};
}

/**
 * Time of failed probes after which a request that was sent is given up though no
 * other instance can run it, in milliseconds; longer than a full link delays its
 * answer.
 */
const SILENT_MS = 10_000;

/**
 * Time of failed probes after which a member is lost, in milliseconds: three
 * probes a second apart, which is the interval of plans. An unresponsive
 * process on a machine that accepts connections gets as long as its keys are
 * held without it.
 */
const LOST_MS = {unreachable: 2000, unresponsive: 5000};

/**
 * Tells whether a member has failed for so long that its keys are given to
 * other instances. A suspected member is never lost, as nothing proves its
 * failure.
 *
 * @example
 * isLost(peerStatusOf(NEVER_PROBED, performance.now())); // false
 */
export function isLost({liveness, failingMs}: PeerStatus): boolean {
  if (liveness === 'alive' || liveness === 'suspect') return false;
  const isDown = liveness === 'unreachable' || liveness === 'refused';
  return failingMs >= (isDown ? LOST_MS.unreachable : LOST_MS.unresponsive);
}
