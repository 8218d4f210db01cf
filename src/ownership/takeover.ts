import {formatLease} from '../model/index.js';
import type {LeaseId, Member, Witness, WitnessSet} from '../model/index.js';
import {hasMajority} from './holder.js';
import type {SealAnswer} from './messages.js';

/** The evidence collected to prove that a lease has ended. */
export interface Takeover {
  readonly lease: LeaseId;
  readonly startedAt: number;
  /** Processes of the witnesses whose acknowledgement has lapsed. */
  readonly lapsed: ReadonlySet<string>;
  /**
   * Answers of the witnesses that have sealed the lease, by process. A witness
   * that has recorded a newer set proves nothing for an older set, because the
   * holder may no longer use the older one.
   */
  readonly sealed: ReadonlyMap<string, SealAnswer>;
  /**
   * Processes of the witnesses that declined to seal, because their
   * acknowledgement has not lapsed.
   */
  readonly observing: ReadonlySet<string>;
  /** Witness set newer than the recorded one, as reported by a witness. */
  readonly newerSet?: WitnessSet;
  readonly sealRequestedAt: number;
  /** When a read of the registration record was last requested. */
  readonly readRequestedAt: number;
  /** Processes of the witnesses that had ended when the read was requested. */
  readonly endedWitnesses: ReadonlySet<string>;
  /** Record returned by the read. */
  readonly freshRecord?: Member;
}

/** Running takeovers, by lease. */
export type Takeovers = ReadonlyMap<string, Takeover>;

/** Next action of a takeover. */
export type TakeoverAction = 'seal' | 'read' | 'none';

/** Interval between two requests to seal the same lease, in milliseconds. */
export const SEAL_INTERVAL_MS = 100;

/**
 * Time from the start of a takeover after which a read of the record justifies
 * its cost, in milliseconds.
 */
export const READ_DELAY_MS = 250;

/** Interval between two reads of the same record, in milliseconds. */
export const READ_INTERVAL_MS = 1_000;

/** Time after which a takeover without result is removed, in milliseconds. */
export const TAKEOVER_TIMEOUT_MS = 10_000;

/** Starts a takeover of a lease, unless one is running. */
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

/**
 * Records that the acknowledgement of a witness has lapsed, and starts a
 * takeover if none is running.
 */
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

/** Records the answer of a witness to a request to seal. */
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
        observing,
        lapsed: without(takeover.lapsed, process),
      };
    }
    const sealed = new Map(takeover.sealed).set(process, answer);
    return {...takeover, sealed};
  });
}

/** Returns the newest known witness set of the lease of a takeover. */
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

/** Returns whether the seals alone prove that the lease has ended. */
export function isProvenBySeals(
  takeover: Takeover,
  member: Member | undefined,
): boolean {
  const set = newestWitnessSet(takeover, member);
  if (!set || set.witnesses.length === 0) return false;
  return hasMajority(set, witness => hasSealed(takeover, set, witness));
}

/**
 * Returns whether a majority of the witnesses declined to seal, so that the
 * lease may still be in force.
 */
export function isStillObserved(
  takeover: Takeover,
  set: WitnessSet | undefined,
): boolean {
  if (!set) return false;
  return hasMajority(set, witness => takeover.observing.has(witness.process));
}

/**
 * Returns whether the record that was read, together with the seals and the
 * witnesses that had ended before the read, proves that the lease has ended. A
 * witness that ended may have recorded a newer set, which only the record
 * shows, and its last acknowledgement remains valid for up to `observationMs`.
 *
 * @param observationMs Longest time for which an acknowledgement is valid, in
 *     milliseconds.
 */
export function isProvenByRecord(
  takeover: Takeover,
  observationMs: number,
  now: number,
): boolean {
  const {lease, freshRecord} = takeover;
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
 * Returns the next action of a takeover.
 *
 * @param isEndSuspected Whether there is evidence that the lease has ended, so
 *     that a read from the platform is justified.
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
  const hasLapsed = hasMajority(set, witness =>
    takeover.lapsed.has(witness.process),
  );
  return hasLapsed || hasWaited ? 'seal' : 'none';
}

/** Records that the witnesses were requested to seal. */
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

/** Records that a read was requested, and which witnesses had ended by then. */
export function recordReadRequest(
  takeovers: Takeovers,
  lease: LeaseId,
  endedWitnesses: ReadonlySet<string>,
  now: number,
): Takeovers {
  return updateTakeover(takeovers, lease, takeover => ({
    ...takeover,
    readRequestedAt: now,
    endedWitnesses,
    freshRecord: undefined,
  }));
}

/** Records the result of a read of the registration record. */
export function recordReadResult(
  takeovers: Takeovers,
  lease: LeaseId,
  freshRecord: Member,
): Takeovers {
  return updateTakeover(takeovers, lease, takeover => ({
    ...takeover,
    freshRecord,
  }));
}

/** Removes a takeover. */
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
