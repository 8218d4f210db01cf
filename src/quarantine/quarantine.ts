import type {EventKind, Log} from '../telemetry/index.js';
import {createRecentAnswers} from './answers.js';
import {QUARANTINE_EVENTS} from './events.js';
import {addressOf, fingerprintOf, type RequestContent} from './fingerprint.js';
import type {QuarantineMessage} from './message.js';
import {
  NO_SUSPECTS,
  adoptQuarantine,
  beginTrial,
  clearSuspect,
  comparedPart,
  decideRequest,
  quarantinedOf,
  recordInstanceEnd,
  type InstanceEnd,
  type QuarantineState,
  type QuarantineVerdict,
  type QuarantinedRequest,
  type Suspect,
} from './state.js';

/** Right of a request to run at the instance beside. */
export interface Turn {
  /** No other request with the fingerprint has a turn. */
  readonly isAlone: boolean;
  /** It is the trial of a quarantined request. */
  readonly isTrial: boolean;
  /** Ends the turn; must be called once. */
  readonly leave: () => void;
}

/** Answer to a request that wants to run. */
export type TurnDecision =
  | {readonly kind: 'turn'; readonly turn: Turn}
  /** Another one with the fingerprint runs. */
  | {readonly kind: 'wait'; readonly until: Promise<void>}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** A quarantined request, for operators. */
export interface QuarantineReport extends QuarantinedRequest {
  /** Time until one more run is tried, in milliseconds. */
  readonly trialInMs: number;
  /** Trials that ended an instance. */
  readonly failedTrials: number;
}

/** Suspects as this daemon knows them. */
export interface Quarantine {
  /** Decides on a request before it is sent to any instance. */
  readonly verdict: (content: RequestContent) => QuarantineVerdict;
  /** Asks for the right to run a request at the instance beside. */
  readonly takeTurn: (content: RequestContent) => TurnDecision;
  /** Returns the number of instances that ended with a request in flight. */
  readonly endCount: (content: RequestContent) => number;
  /** Records that the instance beside has ended unplanned. */
  readonly recordEnd: (end: InstanceEnd) => void;
  /**
   * Records that the instance beside has answered a request.
   *
   * @param isAlone It had its turn as a suspect, so that no other daemon has
   *     such an answer.
   */
  readonly recordAnswer: (content: RequestContent, isAlone: boolean) => void;
  /** Applies a message of another daemon. */
  readonly receive: (message: QuarantineMessage) => void;
  /** Adopts the quarantined requests that the store keeps. */
  readonly adopt: (requests: readonly QuarantinedRequest[]) => void;
  /** Ends a quarantine that the store shows as ended. */
  readonly applyRelease: (fingerprint: string) => void;
  /**
   * Ends the quarantine of a request everywhere, for an operator.
   *
   * @returns false if it is not quarantined.
   */
  readonly release: (fingerprint: string) => boolean;
  readonly quarantined: () => readonly Suspect[];
  /** Returns the quarantined requests for operators. */
  readonly reports: () => readonly QuarantineReport[];
}

/** Dependencies of a quarantine. */
export interface QuarantineOptions {
  readonly clock: () => number;
  /** Called with what other daemons must know. */
  readonly tellOthers: (message: QuarantineMessage) => void;
  /**
   * Called with the fingerprint of an answered suspect that others may have
   * answered at the same time: one of them has to tell the rest.
   */
  readonly tellOthersLater: (fingerprint: string) => void;
  /**
   * Called with a quarantined request that is cleared.
   *
   * @param isOwn This daemon has decided it.
   */
  readonly onReleased: (suspect: Suspect, isOwn: boolean) => void;
  readonly log: Log;
}

const RUN: QuarantineVerdict = {kind: 'run'};

const ORDINARY_TURN: Turn = {
  isAlone: false,
  isTrial: false,
  leave: () => {},
};

/**
 * Tells whether a turn that was given earlier still allows a request to run.
 *
 * @example
 * if (!holdsTurn(turn, quarantine.verdict(content))) turn.leave();
 */
export function holdsTurn(
  {isAlone, isTrial}: Pick<Turn, 'isAlone' | 'isTrial'>,
  {kind}: QuarantineVerdict,
): boolean {
  if (kind === 'run' || isTrial) return true;
  return kind === 'run-alone' && isAlone;
}

/** Ended instances from which a suspect runs beside no other such suspect. */
const EXCLUSIVE_ENDS = 2;

/** Lock of the suspects with so many ends; no fingerprint is empty. */
const STRONG_LOCK = '';

/** Retry-After while a trial of the request runs, in milliseconds. */
const TRIAL_RETRY_MS = 30_000;

/**
 * Creates the quarantine of a daemon.
 *
 * @example
 * const quarantine = createQuarantine(options);
 * const decision = quarantine.takeTurn(content);
 * if (decision.kind === 'turn') decision.turn.leave();
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const {clock, log} = options;
  let state: QuarantineState = NO_SUSPECTS;
  const recentAnswers = createRecentAnswers();
  const turns = new Map<string, Promise<void>>();

  /** Returns the fingerprint of a request that may be a suspect. */
  const suspectOf = (content: RequestContent): string | undefined => {
    if (state.suspects.size === 0) return undefined;
    if (!state.addresses.has(comparedPart(addressOf(content)))) {
      return undefined;
    }
    const fingerprint = fingerprintOf(content);
    return state.suspects.has(fingerprint) ? fingerprint : undefined;
  };

  const verdict = (content: RequestContent) => {
    const fingerprint = suspectOf(content);
    return fingerprint ? decideRequest(state, fingerprint, clock()) : RUN;
  };

  const logSuspect = (event: EventKind, suspect: Suspect) => {
    const {fingerprint, service, address, answers, lives} = suspect;
    const upstreams = lives.join(', ');
    log(event, {fingerprint, service, address, answers, upstreams});
  };

  const setState = (next: QuarantineState) => {
    const before = state;
    state = next;
    for (const suspect of quarantinedOf(next)) {
      const known = before.suspects.get(suspect.fingerprint);
      if (known?.trialAt === undefined) {
        logSuspect(QUARANTINE_EVENTS.quarantined, suspect);
      }
    }
  };

  const clear = (fingerprint: string, isOwn: boolean) => {
    const suspect = state.suspects.get(fingerprint);
    if (!suspect) return;
    const isQuarantined = suspect.trialAt !== undefined;
    setState(clearSuspect(state, fingerprint));
    recentAnswers.recordClear(fingerprint);
    if (!isQuarantined) return;
    logSuspect(QUARANTINE_EVENTS.released, suspect);
    options.onReleased(suspect, isOwn);
  };

  /**
   * Returns what a suspect must not run beside: itself, and from the second end
   * on other such suspects, so that the next end tells which of them it was.
   */
  const locksOf = (fingerprint: string): readonly string[] => {
    const ends = state.suspects.get(fingerprint)?.lives.length ?? 0;
    return ends < EXCLUSIVE_ENDS ? [fingerprint] : [fingerprint, STRONG_LOCK];
  };

  const takeAloneTurn = (locks: readonly string[], isTrial: boolean): Turn => {
    let leave = () => {};
    const ended = new Promise<void>(resolve => {
      leave = () => {
        for (const lock of locks) turns.delete(lock);
        resolve();
      };
    });
    for (const lock of locks) turns.set(lock, ended);
    return {isAlone: true, isTrial, leave};
  };

  return {
    verdict,
    takeTurn: content => {
      const fingerprint = suspectOf(content);
      if (!fingerprint) return {kind: 'turn', turn: ORDINARY_TURN};
      const decision = decideRequest(state, fingerprint, clock());
      if (decision.kind === 'refuse') return decision;
      if (decision.kind === 'run') return {kind: 'turn', turn: ORDINARY_TURN};
      const locks = locksOf(fingerprint);
      const busy = locks.find(lock => turns.has(lock));
      const running = busy === undefined ? undefined : turns.get(busy);
      if (running && decision.isTrial) {
        return {kind: 'refuse', retryAfterMs: TRIAL_RETRY_MS};
      }
      if (running) return {kind: 'wait', until: running};
      if (decision.isTrial) {
        setState(beginTrial(state, fingerprint, clock()));
        const suspect = state.suspects.get(fingerprint);
        if (suspect) logSuspect(QUARANTINE_EVENTS.trial, suspect);
      }
      const {isTrial} = decision;
      return {kind: 'turn', turn: takeAloneTurn(locks, isTrial)};
    },
    endCount: content => {
      const fingerprint = suspectOf(content);
      return (
        (fingerprint && state.suspects.get(fingerprint)?.lives.length) || 0
      );
    },
    recordEnd: ended => {
      const requests = recentAnswers.countFor(ended.requests);
      const end = {...ended, requests};
      setState(recordInstanceEnd(state, end, clock()));
      options.tellOthers({ends: [end], cleared: []});
    },
    recordAnswer: (content, isAlone) => {
      recentAnswers.record(content);
      const fingerprint = suspectOf(content);
      if (!fingerprint) return;
      clear(fingerprint, true);
      if (isAlone) options.tellOthers({ends: [], cleared: [fingerprint]});
      else options.tellOthersLater(fingerprint);
    },
    receive: ({ends, cleared}) => {
      const now = clock();
      setState(
        ends.reduce((next, end) => recordInstanceEnd(next, end, now), state),
      );
      for (const fingerprint of cleared) clear(fingerprint, false);
    },
    adopt: requests => {
      const now = clock();
      setState(
        requests.reduce(
          (next, request) => adoptQuarantine(next, request, now),
          state,
        ),
      );
    },
    applyRelease: fingerprint => clear(fingerprint, false),
    release: fingerprint => {
      const isKnown = state.suspects.get(fingerprint)?.trialAt !== undefined;
      if (!isKnown) return false;
      clear(fingerprint, true);
      options.tellOthers({ends: [], cleared: [fingerprint]});
      return true;
    },
    reports: () => {
      const now = clock();
      return quarantinedOf(state).map(suspect => {
        const {fingerprint, service, address, lives, failedTrials} = suspect;
        const trialInMs = Math.max(0, (suspect.trialAt ?? now) - now);
        const request = {fingerprint, service, address, lives};
        return {...request, trialInMs, failedTrials};
      });
    },
    quarantined: () => quarantinedOf(state),
  };
}
