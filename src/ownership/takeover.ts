import {formatLease} from '../model/index.js';
import type {LeaseId, Member, Witness, WitnessSet} from '../model/index.js';
import {hasMajority} from './holder.js';
import type {SealAnswer} from './messages.js';

/** The collection of proof that one lease has ended. */
export interface Takeover {
  readonly lease: LeaseId;
  readonly startedAt: number;
  /** Processes of witnesses whose promises have lapsed. */
  readonly lapsed: ReadonlySet<string>;
  /**
   * Answers of the witnesses that have sealed the lease, by their process. A
   * witness that has noted a newer set proves nothing for an older one, which
   * the holder may have left.
   */
  readonly sealed: ReadonlyMap<string, SealAnswer>;
  /** Processes of witnesses that refused to seal: their promises still run. */
  readonly alive: ReadonlySet<string>;
  /** A newer witness set than the recorded one, told by a witness. */
  readonly newer?: WitnessSet;
  readonly askedAt: number;
  /** When a fresh read of the registration record was last asked for. */
  readonly readAt: number;
  /** Processes of witnesses that had ended when the read was asked for. */
  readonly gone: ReadonlySet<string>;
  /** The answer to the read. */
  readonly fresh?: Member;
}

/** Running takeovers, by lease. */
export type Takeovers = ReadonlyMap<string, Takeover>;

/** What a takeover asks for next. */
export type TakeoverAction = 'seal' | 'read' | 'none';

/** Time between two requests to seal the same lease, in milliseconds. */
export const SEAL_REPEAT_MS = 100;

/** Time after which a fresh read of the record is worth a call, in milliseconds. */
export const READ_AFTER_MS = 250;

/** Time between two fresh reads of the same record, in milliseconds. */
export const READ_REPEAT_MS = 1_000;

/** Time after which a takeover without result is forgotten, in milliseconds. */
export const TAKEOVER_LIMIT_MS = 10_000;

/** Starts a takeover unless it is running. */
export function startTakeover(
  takeovers: Takeovers,
  lease: LeaseId,
  now: number,
): Takeovers {
  const key = formatLease(lease);
  if (takeovers.has(key)) return takeovers;
  const started = {
    lease,
    startedAt: now,
    lapsed: new Set<string>(),
    alive: new Set<string>(),
    sealed: new Map<string, SealAnswer>(),
    askedAt: -Infinity,
    readAt: -Infinity,
    gone: new Set<string>(),
  };
  return new Map(takeovers).set(key, started);
}

/** Notes that the promise of a witness has lapsed. */
export function noteLapse(
  takeovers: Takeovers,
  lease: LeaseId,
  process: string,
  now: number,
): Takeovers {
  const started = startTakeover(takeovers, lease, now);
  return change(started, lease, takeover => ({
    ...takeover,
    lapsed: new Set(takeover.lapsed).add(process),
    alive: without(takeover.alive, process),
  }));
}

/** Notes the answer of a witness to a request to seal. */
export function noteSealAnswer(
  takeovers: Takeovers,
  answer: SealAnswer,
  process: string,
): Takeovers {
  return change(takeovers, answer.lease, takeover => {
    const {newer} = answer;
    if (newer && newer.number > (takeover.newer?.number ?? 0)) {
      return {...takeover, newer, askedAt: -Infinity};
    }
    if (answer.sealed === 0) {
      const alive = new Set(takeover.alive).add(process);
      return {...takeover, alive, lapsed: without(takeover.lapsed, process)};
    }
    const sealed = new Map(takeover.sealed).set(process, answer);
    return {...takeover, sealed};
  });
}

/** Returns the newest witness set that is known for the lease of a takeover. */
export function witnessesOf(
  takeover: Takeover,
  member: Member | undefined,
): WitnessSet | undefined {
  const recorded =
    member?.generation === takeover.lease.generation
      ? member.witnesses
      : undefined;
  const {newer} = takeover;
  if (!recorded) return newer;
  return newer && newer.number > recorded.number ? newer : recorded;
}

/** Tells whether the seals alone prove that the lease has ended. */
export function provedBySeals(
  takeover: Takeover,
  member: Member | undefined,
): boolean {
  const set = witnessesOf(takeover, member);
  if (!set || set.witnesses.length === 0) return false;
  return hasMajority(set, witness => isSealed(takeover, set, witness));
}

/** Tells whether a majority of the witnesses still observes the lease. */
export function isAlive(
  takeover: Takeover,
  set: WitnessSet | undefined,
): boolean {
  if (!set) return false;
  return hasMajority(set, witness => takeover.alive.has(witness.process));
}

/**
 * Tells whether a fresh read of the record, together with the seals and the
 * witnesses that had ended before the read, proves that the lease has ended. A
 * witness that ended may have noted a newer set, which only the record tells,
 * and its last promise is observed for another `promiseMs`.
 *
 * @param promiseMs Longest time for which a promise is observed.
 */
export function provedByRecord(
  takeover: Takeover,
  promiseMs: number,
  now: number,
): boolean {
  const {lease, fresh} = takeover;
  if (!fresh || fresh.generation < lease.generation) return false;
  if (fresh.generation > lease.generation) return true;
  if (fresh.state === 'ended') return true;
  if (now - takeover.readAt < promiseMs) return false;
  const set = witnessesOf(takeover, fresh);
  if (!set || set.witnesses.length === 0) return false;
  return hasMajority(
    set,
    witness =>
      isSealed(takeover, set, witness) || takeover.gone.has(witness.process),
  );
}

/**
 * Returns what a takeover asks for now.
 *
 * @param isDoubted Whether something speaks for the end of the lease, so that a
 *     read of the platform is worth a call.
 */
export function nextAction(
  takeover: Takeover,
  set: WitnessSet | undefined,
  isDoubted: boolean,
  now: number,
): TakeoverAction {
  const waited = now - takeover.startedAt >= READ_AFTER_MS;
  const readDue = now - takeover.readAt >= READ_REPEAT_MS;
  if (waited && readDue && isDoubted) return 'read';
  if (now - takeover.askedAt < SEAL_REPEAT_MS) return 'none';
  if (!set) return 'none';
  const lapsed = hasMajority(set, witness =>
    takeover.lapsed.has(witness.process),
  );
  return lapsed || waited ? 'seal' : 'none';
}

/** Marks that the witnesses were asked to seal. */
export function noteAsked(
  takeovers: Takeovers,
  lease: LeaseId,
  now: number,
): Takeovers {
  return change(takeovers, lease, takeover => ({...takeover, askedAt: now}));
}

/** Marks that a fresh read was asked for, and which witnesses had ended then. */
export function noteRead(
  takeovers: Takeovers,
  lease: LeaseId,
  gone: ReadonlySet<string>,
  now: number,
): Takeovers {
  return change(takeovers, lease, takeover => ({
    ...takeover,
    readAt: now,
    gone,
    fresh: undefined,
  }));
}

/** Notes the answer to a fresh read of the record. */
export function noteFresh(
  takeovers: Takeovers,
  lease: LeaseId,
  fresh: Member,
): Takeovers {
  return change(takeovers, lease, takeover => ({...takeover, fresh}));
}

/** Forgets a takeover. */
export function endTakeover(takeovers: Takeovers, lease: LeaseId): Takeovers {
  const key = formatLease(lease);
  if (!takeovers.has(key)) return takeovers;
  const rest = new Map(takeovers);
  rest.delete(key);
  return rest;
}

function without(
  set: ReadonlySet<string>,
  member: string,
): ReadonlySet<string> {
  if (!set.has(member)) return set;
  return new Set([...set].filter(other => other !== member));
}

function isSealed(
  takeover: Takeover,
  set: WitnessSet,
  witness: Witness,
): boolean {
  const answer = takeover.sealed.get(witness.process);
  if (!answer) return false;
  return answer.sealed >= set.number && answer.noted <= set.number;
}

function change(
  takeovers: Takeovers,
  lease: LeaseId,
  next: (takeover: Takeover) => Takeover,
): Takeovers {
  const key = formatLease(lease);
  const takeover = takeovers.get(key);
  if (!takeover) return takeovers;
  const changed = next(takeover);
  return changed === takeover
    ? takeovers
    : new Map(takeovers).set(key, changed);
}
