/** How a question to a daemon, on a connection of its own, ended. */
export type Reply =
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
export interface Usual {
  readonly meanMs: number;
  readonly deviationMs: number;
  /** Time of the last answer that counts in it, in milliseconds. */
  readonly at: number;
}

/** What one daemon has heard of another. */
export interface Hearing {
  /** Time at which anything was last heard of it, in milliseconds. */
  readonly heardAt: number;
  /** Time of the last question, in milliseconds. */
  readonly askedAt: number;
  /** The last question has not ended yet. */
  readonly isAsked: boolean;
  /** How the last question that counts against it ended. */
  readonly against?: Exclude<Reply['kind'], 'answered'>;
  /** Questions in a row that ended so. */
  readonly times: number;
  /**
   * Time of the first question that counts against it, moved on by the time in
   * which the observer was unwell, in milliseconds.
   */
  readonly silentSince?: number;
  /** End of the last question by which its silence was judged, likewise. */
  readonly judgedAt?: number;
  readonly liveness: Liveness;
  readonly usual?: Usual;
}

/** What was heard of a daemon that was never asked. */
export const UNHEARD: Hearing = {
  heardAt: -Infinity,
  askedAt: -Infinity,
  isAsked: false,
  times: 0,
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
      readonly reply: Reply;
      readonly observer: Observer;
    };

/**
 * Lateness of a timer from which the observer has a trouble of its own, in
 * milliseconds; a third of the shortest wait for an answer.
 */
export const LATE_MS = 100;

/** Answers in a row that prove a loss; one refusal may be for want of room. */
const PROOF_TIMES = 2;

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
export function observeSilence(
  hearing: Hearing,
  observation: Observation,
  now: number,
): Hearing {
  switch (observation.kind) {
    case 'asked':
      return {...hearing, askedAt: now, isAsked: true};
    case 'heard':
      return listened(hearing, now);
    case 'ended': {
      const {reply, observer} = observation;
      const ended = {...hearing, isAsked: false};
      if (reply.kind === 'answered') {
        const usual = learnUsual(hearing.usual, reply.tookMs, now);
        return {...listened(ended, now), usual};
      }
      if (hearing.heardAt > hearing.askedAt) return ended;
      if (reply.kind !== 'refused' && !isWell(observer)) {
        return excuse(ended, now);
      }
      return accuse(ended, reply.kind, now);
    }
  }
}

function listened(hearing: Hearing, now: number): Hearing {
  const {askedAt, isAsked, usual} = hearing;
  return {...UNHEARD, heardAt: now, askedAt, isAsked, usual};
}

function isWell({heard, waiting, isAlone, lateMs}: Observer): boolean {
  const isHearing = heard > 0 || isAlone;
  return lateMs < LATE_MS && isHearing && heard >= waiting;
}

/** Leaves the time since the last judgement out of the silence. */
function excuse(hearing: Hearing, now: number): Hearing {
  const {silentSince, judgedAt = now} = hearing;
  if (silentSince === undefined) return hearing;
  const movedTo = silentSince + (now - judgedAt);
  return {...hearing, silentSince: movedTo, judgedAt: now};
}

function accuse(
  hearing: Hearing,
  against: Exclude<Reply['kind'], 'answered'>,
  now: number,
): Hearing {
  const times = hearing.against === against ? hearing.times + 1 : 1;
  const silentSince = hearing.silentSince ?? hearing.askedAt;
  const liveness = livenessOf(hearing.liveness, against, times);
  return {...hearing, against, times, silentSince, judgedAt: now, liveness};
}

/** What each reply proves when it is given several times in a row. */
const PROOFS = {
  refused: 'refused',
  unconnected: 'dark',
  unanswered: 'still',
} as const;

/** A lost machine stays so until it takes a connection. */
function livenessOf(
  before: Liveness,
  against: Exclude<Reply['kind'], 'answered'>,
  times: number,
): Liveness {
  if (times >= PROOF_TIMES) return PROOFS[against];
  if (against === 'unanswered') return 'late';
  return before === 'heard' ? 'late' : before;
}

/** Weights of the newest answer, as in the estimate of RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations beyond the mean after which an answer is unusual (RFC 6298). */
const DEVIATIONS = 4;

/** Time after which an answer tells nothing of now, in milliseconds. */
const USUAL_MS = 10_000;

/**
 * Counts the time of an answer.
 *
 * @example
 * learnUsual(undefined, 40, performance.now()).meanMs; // 40
 */
export function learnUsual(
  usual: Usual | undefined,
  tookMs: number,
  now: number,
): Usual {
  if (!usual || now - usual.at > USUAL_MS) {
    return {meanMs: tookMs, deviationMs: tookMs / 2, at: now};
  }
  const error = tookMs - usual.meanMs;
  const {meanMs, deviationMs} = usual;
  return {
    meanMs: meanMs + MEAN_WEIGHT * error,
    deviationMs:
      deviationMs + DEVIATION_WEIGHT * (Math.abs(error) - deviationMs),
    at: now,
  };
}

/**
 * Bounds of the wait for a connection, in milliseconds: one lost packet and its
 * repetition after the shortest time of usual kernels; and a repeated opening
 * packet, which is sent after a second.
 */
const CONNECT_MS = {least: 300, most: 1200};

/**
 * Wait for an answer where the connection was taken, in milliseconds: a kernel
 * that answers leaves slowness likelier than a loss, and with the silence before
 * it comes to one and a half seconds.
 */
const ANSWER_MS = 1000;

/** Time limits of one question, in milliseconds from its start. */
export interface QuestionLimits {
  readonly connectMs: number;
  readonly answerMs: number;
}

/**
 * Returns how long the answer to a question is waited for: what is usual for
 * that daemon and for all, doubled for each question without a connection.
 *
 * @param all How long answers of all daemons take.
 *
 * @example
 * questionLimits(UNHEARD, undefined, performance.now()).connectMs; // 300
 */
export function questionLimits(
  hearing: Hearing,
  all: Usual | undefined,
  now: number,
): QuestionLimits {
  const usualMs = Math.max(longestMs(hearing.usual, now), longestMs(all, now));
  const {against, times} = hearing;
  const doubled = against === 'unconnected' ? 2 ** Math.min(times, 2) : 1;
  const {least, most} = CONNECT_MS;
  const connectMs = Math.min(most, Math.max(least, usualMs) * doubled);
  return {connectMs, answerMs: Math.max(ANSWER_MS, connectMs)};
}

function longestMs(usual: Usual | undefined, now: number): number {
  if (!usual || now - usual.at > USUAL_MS) return 0;
  return usual.meanMs + DEVIATIONS * usual.deviationMs;
}

/** Time for which a question that did not end well tells of now. */
const RECENT_MS = 2000;

/**
 * Counts the other daemons that the observer has heard since a question to one
 * of them was sent, and those that keep it waiting.
 *
 * @example
 * const {heard, waiting} = compareOthers(hearings, '10.1.0.8:7620', now);
 */
export function compareOthers(
  hearings: ReadonlyMap<string, Hearing>,
  node: string,
  now: number,
): Pick<Observer, 'heard' | 'waiting'> {
  const since = hearings.get(node)?.askedAt ?? now;
  let heard = 0;
  let waiting = 0;
  for (const [
    other,
    {heardAt, askedAt, isAsked, against, liveness},
  ] of hearings) {
    if (other === node) continue;
    if (heardAt >= since) heard += 1;
    else if (isProven(liveness)) continue;
    else if (isAsked || (against && now - askedAt < RECENT_MS)) waiting += 1;
  }
  return {heard, waiting};
}

function isProven(liveness: Liveness): boolean {
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
export function chooseControl(
  hearings: ReadonlyMap<string, Hearing>,
  others: Iterable<string>,
  excluded: readonly string[],
  random: number,
): string | undefined {
  const choices = [...others].filter(other => {
    const {liveness} = hearings.get(other) ?? UNHEARD;
    return !excluded.includes(other) && !isProven(liveness);
  });
  return choices[Math.floor(random * choices.length)];
}

/** What is known of a daemon that may be silent. */
export interface Silence {
  readonly liveness: Liveness;
  /** Time since anything was heard of it, in milliseconds. */
  readonly quietMs: number;
  /**
   * Time from the first question that counts against it to the end of the last
   * one, without that in which the observer was unwell, in milliseconds.
   */
  readonly silentMs: number;
}

/**
 * Returns what is known now of a daemon.
 *
 * @example
 * silenceOf(UNHEARD, performance.now()).liveness; // 'heard'
 */
export function silenceOf(hearing: Hearing, now: number): Silence {
  const {liveness, heardAt, silentSince = 0, judgedAt = 0} = hearing;
  return {liveness, quietMs: now - heardAt, silentMs: judgedAt - silentSince};
}

/** A request that a daemon has not answered yet. */
export interface Pending {
  /** Time since it was forwarded, in milliseconds. */
  readonly pendingMs: number;
  /** A part of it was written to a connection. */
  readonly isSent: boolean;
  /** It is idempotent, and its body is at hand. */
  readonly isRepeatable: boolean;
  /** Another instance may run it. */
  readonly hasChoice: boolean;
  /** Time by which the timer of this look was late, in milliseconds. */
  readonly lateMs: number;
}

/** What to do about a request that has no answer yet. */
export type Step =
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'ask'; readonly ms: number}
  | {readonly kind: 'give-up'};

/**
 * Silence of a daemon after which it is asked, in milliseconds: most requests
 * are answered by then, and a lost machine is known with the limits above
 * within one and a half seconds.
 */
const ASK_AFTER_MS = 400;

/** Interval between two looks at what a question has shown, in milliseconds. */
const LOOK_MS = 100;

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
export function decideSilence(silence: Silence, pending: Pending): Step {
  const {liveness} = silence;
  const {isSent, isRepeatable, hasChoice, pendingMs, lateMs} = pending;
  if (lateMs >= LATE_MS) return {kind: 'wait', ms: LOOK_MS};
  const isFree = !isSent || isRepeatable;
  if (liveness === 'refused') return {kind: 'give-up'};
  const isGone = liveness === 'dark' || liveness === 'still';
  if (isGone && isFree) return {kind: 'give-up'};
  const quietMs = Math.min(pendingMs, silence.quietMs);
  if (quietMs >= ASK_AFTER_MS) {
    const isElsewhere = liveness === 'late' && !isSent && hasChoice;
    return isElsewhere ? {kind: 'give-up'} : {kind: 'ask', ms: LOOK_MS};
  }
  return {kind: 'wait', ms: Math.max(1, ASK_AFTER_MS - quietMs)};
}

/**
 * Silence after which a member is lost, in milliseconds: three questions a
 * second apart, the interval of plans. A process that stands still behind a
 * kernel that answers is let be for as long as its keys are held without it.
 */
const LOST_MS = {lost: 2000, standing: 5000};

/**
 * Tells whether a member is silent for so long that its keys are given to
 * others. One that is only late is not: nothing proves a loss.
 *
 * @example
 * isLost(silenceOf(UNHEARD, performance.now())); // false
 */
export function isLost({liveness, silentMs}: Silence): boolean {
  if (liveness === 'heard' || liveness === 'late') return false;
  const isLikely = liveness === 'dark' || liveness === 'refused';
  return silentMs >= (isLikely ? LOST_MS.lost : LOST_MS.standing);
}
