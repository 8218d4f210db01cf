import type {Life} from './runs.js';

/** A request that was in flight when an instance ended. */
export interface InFlight {
  readonly fingerprint: string;
  /** The request without its body, as `addressOf` returns it. */
  readonly address: string;
  /** No other request with the fingerprint was at the instance. */
  readonly isAlone: boolean;
  /**
   * How often the instance answered a request with the fingerprint of late, as
   * far as the daemon beside it remembers, less the suspicions that ended.
   */
  readonly answers?: number;
}

/** The unplanned end of an instance, and what was in flight. */
export interface InstanceEnd extends Life {
  readonly service: string;
  readonly requests: readonly InFlight[];
}

/** What is known of a request that may have ended instances. */
export interface Suspect {
  readonly fingerprint: string;
  readonly service: string;
  readonly address: string;
  /** Lives that ended with the request in flight, and has not run since. */
  readonly lives: readonly string[];
  /** Those of them that ended when they ran it as a suspect. */
  readonly aloneLives: readonly string[];
  /** Largest number of earlier answers that was told with an end. */
  readonly answers: number;
  readonly lastEndAt: number;
  /**
   * Time from which one more run is tried, in milliseconds of the clock;
   * undefined unless the request is quarantined.
   */
  readonly trialAt?: number;
  /** Trials that ended an instance. */
  readonly failedTrials: number;
}

/** What a daemon knows of suspects. */
export interface QuarantineState {
  /** By fingerprint. */
  readonly suspects: ReadonlyMap<string, Suspect>;
  /** Their addresses, so that other requests need no digest. */
  readonly addresses: ReadonlySet<string>;
}

/** Decision on a request. */
export type QuarantineVerdict =
  /** It is no suspect. */
  | {readonly kind: 'run'}
  /** It may run while no other request with its fingerprint does. */
  | {readonly kind: 'run-alone'; readonly isTrial: boolean}
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** State without suspects. */
export const NO_SUSPECTS: QuarantineState = {
  suspects: new Map(),
  addresses: new Set(),
};

/** Ended instances from which a request is quarantined. */
const QUARANTINE_ENDS = 3;

/** How many of them ended when they ran it as a suspect. */
const QUARANTINE_ALONE_ENDS = 2;

/** Earlier answers of which each asks for one more end of that kind. */
const MAX_WEIGHED_ANSWERS = 3;

/** Time for which a suspect is remembered after the last end. */
export const SUSPECT_TTL_MS = 600_000;

/** Time from quarantine to the first trial; it doubles with each failed one. */
export const TRIAL_INTERVAL_MS = 60_000;
export const MAX_TRIAL_INTERVAL_MS = 3_600_000;

/** Time from the begin of a trial to the next one if its end is not known. */
export const TRIAL_TIMEOUT_MS = 30_000;

/** Largest number of suspects that a daemon remembers. */
export const MAX_SUSPECTS = 1024;

/** Longest part of an address that is compared. */
export const MAX_ADDRESS_LENGTH = 512;

/**
 * Returns the part of an address by which suspects are found.
 *
 * @example
 * state.addresses.has(comparedPart(addressOf(content)));
 */
export function comparedPart(address: string): string {
  return address.slice(0, MAX_ADDRESS_LENGTH);
}

/**
 * Decides whether a request may run.
 *
 * A request that was in flight when one instance ended may be innocent, since
 * all requests of that instance were. It runs alone until it is answered once;
 * so a deadly one ends one instance at a time, and an innocent one loses its
 * suspicion with the next answer. It is quarantined after three ends, two of
 * them as a suspect: instances that end together for another cause do not
 * quarantine what they had in common. A request that was answered before needs
 * up to three more: it may run when other causes end instances.
 *
 * @example
 * decideRequest(NO_SUSPECTS, fingerprint, now).kind; // 'run'
 */
export function decideRequest(
  state: QuarantineState,
  fingerprint: string,
  now: number,
): QuarantineVerdict {
  const suspect = state.suspects.get(fingerprint);
  if (!suspect || isExpired(suspect, now)) return {kind: 'run'};
  const {trialAt} = suspect;
  if (trialAt === undefined) return {kind: 'run-alone', isTrial: false};
  if (now >= trialAt) return {kind: 'run-alone', isTrial: true};
  return {kind: 'refuse', retryAfterMs: trialAt - now};
}

/**
 * Records the unplanned end of an instance. The end of the same life is
 * recorded once for each request. If the evidence against several requests
 * becomes sufficient with the same end, none is quarantined: they run apart
 * from then on, so that the next end tells them apart.
 *
 * @example
 * const next = recordInstanceEnd(NO_SUSPECTS, end, now);
 */
export function recordInstanceEnd(
  state: QuarantineState,
  end: InstanceEnd,
  now: number,
): QuarantineState {
  const suspects = new Map(state.suspects);
  const life = `${end.id} ${end.born}`;
  const changed: Suspect[] = [];
  // Of copies in flight at the same end, at most one was alone; it counts.
  const requests = [...end.requests].sort(
    (a, b) => Number(b.isAlone) - Number(a.isAlone),
  );
  for (const request of requests) {
    const {fingerprint} = request;
    const known = suspects.get(fingerprint);
    const before = known && !isExpired(known, now) ? known : undefined;
    if (before?.lives.includes(life)) continue;
    const suspect = withEnd(before, request, end.service, life, now);
    // Insertion order is that of the last end, which eviction goes by.
    suspects.delete(fingerprint);
    suspects.set(fingerprint, suspect);
    changed.push(suspect);
  }
  const convicted = changed.filter(
    suspect => isConvicted(suspect) && !hasOtherCause(suspect, changed),
  );
  for (const suspect of convicted) {
    if (convicted.length > 1 && suspect.trialAt === undefined) continue;
    suspects.set(suspect.fingerprint, quarantine(suspect, now));
  }
  return stateOf(evict(suspects, now));
}

/** Largest number of lives that are named as evidence. */
const MAX_LIVES = 8;

function withEnd(
  before: Suspect | undefined,
  {fingerprint, address, isAlone, answers = 0}: InFlight,
  service: string,
  life: string,
  now: number,
): Suspect {
  const {lives = [], aloneLives = [], failedTrials = 0} = before ?? {};
  const append = (list: readonly string[]) => [...list, life].slice(-MAX_LIVES);
  return {
    fingerprint,
    service,
    address: comparedPart(address),
    lives: append(lives),
    aloneLives: isAlone ? append(aloneLives) : aloneLives,
    answers: Math.max(answers, before?.answers ?? 0),
    lastEndAt: now,
    failedTrials,
    trialAt: before?.trialAt,
  };
}

/** Tells whether the evidence is sufficient; it stays so once quarantined. */
function isConvicted({lives, aloneLives, answers, trialAt}: Suspect): boolean {
  if (trialAt !== undefined) return true;
  const aloneEnds =
    QUARANTINE_ALONE_ENDS + Math.min(answers, MAX_WEIGHED_ANSWERS);
  return lives.length >= QUARANTINE_ENDS && aloneLives.length >= aloneEnds;
}

/**
 * Tells whether another request, which has never been answered, was in flight at
 * each end of a suspect: either may be the cause, and they run apart from then
 * on.
 */
function hasOtherCause(
  {fingerprint, lives, trialAt}: Suspect,
  changed: readonly Suspect[],
): boolean {
  if (trialAt !== undefined) return false;
  return changed.some(
    other =>
      other.fingerprint !== fingerprint &&
      other.answers === 0 &&
      lives.every(life => other.lives.includes(life)),
  );
}

/** Quarantines a suspect, or prolongs its quarantine after a failed trial. */
function quarantine(suspect: Suspect, now: number): Suspect {
  if (suspect.trialAt === undefined) {
    return {...suspect, trialAt: now + TRIAL_INTERVAL_MS};
  }
  const failedTrials = suspect.failedTrials + 1;
  const intervalMs = Math.min(
    TRIAL_INTERVAL_MS * 2 ** failedTrials,
    MAX_TRIAL_INTERVAL_MS,
  );
  return {...suspect, failedTrials, trialAt: now + intervalMs};
}

/**
 * Clears a request: an instance has answered it, or an operator has released
 * it.
 *
 * @example
 * const next = clearSuspect(state, fingerprint);
 */
export function clearSuspect(
  state: QuarantineState,
  fingerprint: string,
): QuarantineState {
  if (!state.suspects.has(fingerprint)) return state;
  const suspects = new Map(state.suspects);
  suspects.delete(fingerprint);
  return stateOf(suspects);
}

/**
 * Records that a trial of a quarantined request begins.
 *
 * @example
 * state = beginTrial(state, fingerprint, now);
 */
export function beginTrial(
  state: QuarantineState,
  fingerprint: string,
  now: number,
): QuarantineState {
  const suspect = state.suspects.get(fingerprint);
  if (suspect?.trialAt === undefined) return state;
  const suspects = new Map(state.suspects);
  suspects.set(fingerprint, {...suspect, trialAt: now + TRIAL_TIMEOUT_MS});
  return {...state, suspects};
}

/** A quarantined request, as the store keeps it. */
export type QuarantinedRequest = Pick<
  Suspect,
  'fingerprint' | 'service' | 'address' | 'lives'
>;

/**
 * Adopts a quarantine that another daemon has decided.
 *
 * @example
 * state = adoptQuarantine(state, stored, now);
 */
export function adoptQuarantine(
  state: QuarantineState,
  request: QuarantinedRequest,
  now: number,
): QuarantineState {
  const known = state.suspects.get(request.fingerprint);
  if (known?.trialAt !== undefined) return state;
  const suspects = new Map(state.suspects);
  const times = {lastEndAt: now, trialAt: now + TRIAL_INTERVAL_MS};
  const {fingerprint, service, address, lives} = request;
  suspects.set(fingerprint, {
    fingerprint,
    service,
    address: comparedPart(address),
    lives,
    aloneLives: lives,
    answers: 0,
    failedTrials: 0,
    ...times,
  });
  return stateOf(evict(suspects, now));
}

/**
 * Returns the quarantined requests.
 *
 * @example
 * quarantinedOf(state).length; // 1
 */
export function quarantinedOf(state: QuarantineState): readonly Suspect[] {
  return [...state.suspects.values()].filter(
    ({trialAt}) => trialAt !== undefined,
  );
}

/** A quarantine ends by an answer or by an operator, not by time. */
function isExpired({trialAt, lastEndAt}: Suspect, now: number): boolean {
  return trialAt === undefined && now > lastEndAt + SUSPECT_TTL_MS;
}

/**
 * Removes what is expired, and the least suspect requests beyond the limit: a
 * caller that varies its requests does not displace a quarantined one.
 */
function evict(
  suspects: ReadonlyMap<string, Suspect>,
  now: number,
): ReadonlyMap<string, Suspect> {
  const kept = [...suspects].filter(([, suspect]) => !isExpired(suspect, now));
  const excess = kept.length - MAX_SUSPECTS;
  if (excess <= 0) return new Map(kept);
  const weightOf = ({trialAt, lives}: Suspect) =>
    trialAt === undefined ? lives.length : Infinity;
  const dropped = new Set(
    kept
      .map(([fingerprint, suspect], order) => ({
        fingerprint,
        order,
        weight: weightOf(suspect),
      }))
      .sort((a, b) =>
        a.weight === b.weight ? a.order - b.order : a.weight - b.weight,
      )
      .slice(0, excess)
      .map(({fingerprint}) => fingerprint),
  );
  return new Map(kept.filter(([fingerprint]) => !dropped.has(fingerprint)));
}

function stateOf(suspects: ReadonlyMap<string, Suspect>): QuarantineState {
  const addresses = new Set([...suspects.values()].map(s => s.address));
  return {suspects, addresses};
}
