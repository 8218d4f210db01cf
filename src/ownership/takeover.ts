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
  readonly observing: ReadonlySet<string>;
  /** A newer witness set than the recorded one, told by a witness. */
  readonly newerSet?: WitnessSet;
  readonly sealRequestedAt: number;
  /** When a fresh read of the registration record was last asked for. */
  readonly readRequestedAt: number;
  /** Processes of witnesses that had ended when the read was asked for. */
  readonly endedWitnesses: ReadonlySet<string>;
  /** The answer to the read. */
  readonly freshRecord?: Member;
}

/** Running takeovers, by lease. */
export type Takeovers = ReadonlyMap<string, Takeover>;

/** What a takeover asks for next. */
export type TakeoverAction = 'seal' | 'read' | 'none';

/** Time between two requests to seal the same lease, in milliseconds. */
export const SEAL_INTERVAL_MS = 100;

/** Time after which a fresh read of the record is worth a call, in milliseconds. */
export const READ_DELAY_MS = 250;

/** Time between two fresh reads of the same record, in milliseconds. */
export const READ_INTERVAL_MS = 1_000;

/** Time after which a takeover without result is forgotten, in milliseconds. */
export const TAKEOVER_TIMEOUT_MS = 10_000;

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
    observing: new Set<string>(),
    sealed: new Map<string, SealAnswer>(),
    sealRequestedAt: -Infinity,
    readRequestedAt: -Infinity,
    endedWitnesses: new Set<string>(),
  };
  return new Map(takeovers).set(key, started);
}

/** Notes that the promise of a witness has lapsed. */
export function recordLapse(
  takeovers: Takeovers,
  lease: LeaseId,
  process: string,
  now: number,
): Takeovers {
  const started = startTakeover(takeovers, lease, now);
  return updateTakeover(started, lease, takeover => ({
    ...takeover,
    lapsed: new Set(takeover.lapsed).add(process),
    observing: without(takeover.observing, process),
  }));
}

/** Notes the answer of a witness to a request to seal. */
export function recordSealAnswer(
  takeovers: Takeovers,
  answer: SealAnswer,
  process: string,
): Takeovers {
  return updateTakeover(takeovers, answer.lease, takeover => {
    const {newer} = answer;
    if (newer && newer.number > (takeover.newerSet?.number ?? 0)) {
      return {...takeover, newerSet: newer, sealRequestedAt: -Infinity};
    }
    if (answer.sealed === 0) {
      const observing = new Set(takeover.observing).add(process);
      return {
        ...takeover,
        observing: observing,
        lapsed: without(takeover.lapsed, process),
      };
    }
    const sealed = new Map(takeover.sealed).set(process, answer);
    return {...takeover, sealed};
  });
}

/** Returns the newest witness set that is known for the lease of a takeover. */
export function newestWitnessSet(
  takeover: Takeover,
  member: Member | undefined,
): WitnessSet | undefined {
  const recorded =
    member?.generation === takeover.lease.generation
      ? member.witnesses
      : undefined;
  const {newerSet: newer} = takeover;
  if (!recorded) return newer;
  return newer && newer.number > recorded.number ? newer : recorded;
}

/** Tells whether the seals alone prove that the lease has ended. */
export function isProvenBySeals(
  takeover: Takeover,
  member: Member | undefined,
): boolean {
  const set = newestWitnessSet(takeover, member);
  if (!set || set.witnesses.length === 0) return false;
  return hasMajority(set, witness => hasSealed(takeover, set, witness));
}

/** Tells whether a majority of the witnesses still observes the lease. */
export function isStillObserved(
  takeover: Takeover,
  set: WitnessSet | undefined,
): boolean {
  if (!set) return false;
  return hasMajority(set, witness => takeover.observing.has(witness.process));
}

/**
 * Tells whether a fresh read of the record, together with the seals and the
 * witnesses that had ended before the read, proves that the lease has ended. A
 * witness that ended may have noted a newer set, which only the record tells,
 * and its last promise is observed for another `promiseMs`.
 *
 * @param observationMs Longest time for which a promise is observed.
 */
export function isProvenByRecord(
  takeover: Takeover,
  observationMs: number,
  now: number,
): boolean {
  const {lease, freshRecord: freshRecord} = takeover;
  if (!freshRecord || freshRecord.generation < lease.generation) return false;
  if (freshRecord.generation > lease.generation) return true;
  if (freshRecord.state === 'ended') return true;
  if (now - takeover.readRequestedAt < observationMs) return false;
  const set = newestWitnessSet(takeover, freshRecord);
  if (!set || set.witnesses.length === 0) return false;
  return hasMajority(
    set,
    witness =>
      hasSealed(takeover, set, witness) ||
      takeover.endedWitnesses.has(witness.process),
  );
}

/**
 * Returns what a takeover asks for now.
 *
 * @param isEndSuspected Whether something speaks for the end of the lease, so that a
 *     read of the platform is worth a call.
 */
export function nextAction(
  takeover: Takeover,
  set: WitnessSet | undefined,
  isEndSuspected: boolean,
  now: number,
): TakeoverAction {
  const hasWaited = now - takeover.startedAt >= READ_DELAY_MS;
  const isReadDue = now - takeover.readRequestedAt >= READ_INTERVAL_MS;
  if (hasWaited && isReadDue && isEndSuspected) return 'read';
  if (now - takeover.sealRequestedAt < SEAL_INTERVAL_MS) return 'none';
  if (!set) return 'none';
  const lapsed = hasMajority(set, witness =>
    takeover.lapsed.has(witness.process),
  );
  return lapsed || hasWaited ? 'seal' : 'none';
}

/** Marks that the witnesses were asked to seal. */
export function recordSealRequest(
  takeovers: Takeovers,
  lease: LeaseId,
  now: number,
): Takeovers {
  return updateTakeover(takeovers, lease, takeover => ({
    ...takeover,
    sealRequestedAt: now,
  }));
}

/** Marks that a fresh read was asked for, and which witnesses had ended then. */
export function recordReadRequest(
  takeovers: Takeovers,
  lease: LeaseId,
  endedWitnesses: ReadonlySet<string>,
  now: number,
): Takeovers {
  return updateTakeover(takeovers, lease, takeover => ({
    ...takeover,
    readRequestedAt: now,
    endedWitnesses: endedWitnesses,
    freshRecord: undefined,
  }));
}

/** Notes the answer to a fresh read of the record. */
export function recordReadResult(
  takeovers: Takeovers,
  lease: LeaseId,
  freshRecord: Member,
): Takeovers {
  return updateTakeover(takeovers, lease, takeover => ({
    ...takeover,
    freshRecord: freshRecord,
  }));
}

/** Forgets a takeover. */
export function removeTakeover(
  takeovers: Takeovers,
  lease: LeaseId,
): Takeovers {
  const key = formatLease(lease);
  if (!takeovers.has(key)) return takeovers;
  const rest = new Map(takeovers);
  rest.delete(key);
  return rest;
}

function without(set: ReadonlySet<string>, entry: string): ReadonlySet<string> {
  if (!set.has(entry)) return set;
  return new Set([...set].filter(other => other !== entry));
}

function hasSealed(
  takeover: Takeover,
  set: WitnessSet,
  witness: Witness,
): boolean {
  const answer = takeover.sealed.get(witness.process);
  if (!answer) return false;
  return answer.sealed >= set.number && answer.noted <= set.number;
}

function updateTakeover(
  takeovers: Takeovers,
  lease: LeaseId,
  update: (takeover: Takeover) => Takeover,
): Takeovers {
  const key = formatLease(lease);
  const takeover = takeovers.get(key);
  if (!takeover) return takeovers;
  const changed = update(takeover);
  return changed === takeover
    ? takeovers
    : new Map(takeovers).set(key, changed);
}
