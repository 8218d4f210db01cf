/** Which daemons answer a planner, and which do not. */
export interface ReachEvidence {
  /** Members of the planned service, including the planner's own. */
  readonly members: number;
  /** Those of them that are not lost, including the planner's own. */
  readonly reachedMembers: number;
  /** Daemons of other services that were asked. */
  readonly witnesses: number;
  /** Those of them that answered. */
  readonly answeringWitnesses: number;
}

/**
 * Whether a planner that cannot reach members takes them, or itself, to be cut
 * off.
 *
 * - `connected`: most daemons answer it, so those that do not are lost.
 * - `partial`: some other daemon answers it.
 * - `alone`: no other daemon answers it.
 */
export type PlannerReach = 'connected' | 'partial' | 'alone';

/**
 * Judges the reach of a planner by the members of its service and, where these
 * are no majority, by daemons of other services.
 *
 * @example
 * reachOf({
 *   members: 2,
 *   reachedMembers: 1,
 *   witnesses: 8,
 *   answeringWitnesses: 7,
 * }); // 'connected'
 */
export function reachOf({
  members,
  reachedMembers,
  witnesses,
  answeringWitnesses,
}: ReachEvidence): PlannerReach {
  if (reachedMembers * 2 > members) return 'connected';
  if (answeringWitnesses * 2 > witnesses) return 'connected';
  return reachedMembers + answeringWitnesses > 1 ? 'partial' : 'alone';
}

/** A daemon with its failure domain. */
export interface WitnessCandidate {
  readonly node: string;
  readonly domain: string;
}

/**
 * Chooses daemons that are asked in place of a majority of members: at random,
 * and as many from each failure domain as possible, so that the loss of one
 * domain does not decide.
 *
 * @param random Returns a number from 0 to less than 1.
 *
 * @example
 * const witnesses = chooseWitnesses(others, 9, Math.random);
 */
export function chooseWitnesses<T extends WitnessCandidate>(
  candidates: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  const shuffled = candidates
    .map(candidate => ({candidate, order: random()}))
    .sort((a, b) => a.order - b.order);
  const chosenByDomain = new Map<string, number>();
  const turns = shuffled.map(({candidate}) => {
    const turn = chosenByDomain.get(candidate.domain) ?? 0;
    chosenByDomain.set(candidate.domain, turn + 1);
    return {candidate, turn};
  });
  return turns
    .sort((a, b) => a.turn - b.turn)
    .slice(0, count)
    .map(({candidate}) => candidate);
}

/** Keys that a holder has in the map. */
export interface HolderKeys {
  /** It holds keys, which may be moving. */
  readonly hasActive: boolean;
  /** Number of the last revocation of keys whose leases have not expired. */
  readonly revocation?: number;
}

/** A revocation that a planner has seen. */
export interface SeenRevocation {
  readonly revocation: number;
  /** Time at which it was first seen, in milliseconds. */
  readonly seenAt: number;
}

/** What became of the revocations that a planner has seen; by holder. */
export interface RevocationHistory {
  readonly current: ReadonlyMap<string, SeenRevocation>;
  /**
   * Times at which holders were last seen to have restored keys, which proves
   * that their daemons reach the store.
   */
  readonly restoredAt: ReadonlyMap<string, number>;
}

/** The history of a planner that has seen no map yet. */
export const NO_REVOCATIONS: RevocationHistory = {
  current: new Map(),
  restoredAt: new Map(),
};

/**
 * Updates the history from a map that was read or written. Keys that are
 * revoked under another number than before were restored in between.
 *
 * @param holders All holders in the map.
 *
 * @example
 * history = observeRevocations(history, holdersOf(map), now);
 */
export function observeRevocations(
  history: RevocationHistory,
  holders: ReadonlyMap<string, HolderKeys>,
  now: number,
): RevocationHistory {
  const current = new Map<string, SeenRevocation>();
  const restoredAt = new Map<string, number>();
  for (const [holder, {hasActive, revocation}] of holders) {
    const known = history.current.get(holder);
    const isKnown = known !== undefined && known.revocation === revocation;
    if (isKnown) current.set(holder, known);
    else if (revocation !== undefined)
      current.set(holder, {revocation, seenAt: now});
    const isRestored =
      known && !isKnown && (hasActive || revocation !== undefined);
    const at = isRestored ? now : history.restoredAt.get(holder);
    if (at !== undefined) restoredAt.set(holder, at);
  }
  return {current, restoredAt};
}

/** Share of a lease in which a live holder's daemon restores revoked keys. */
const RESTORE_FRACTION = 0.5;

/** Share of a lease that a holder whose lease is renewed in time has left. */
const RENEWED_FRACTION = 0.5;

/**
 * Returns whether a lease is renewed in time, so that its holder's daemon
 * reaches the store.
 *
 * @param holdLeftMs Time until the lease expires, as the daemon states it.
 *
 * @example
 * isRenewed(4100, 5000); // true
 */
export function isRenewed(
  holdLeftMs: number | undefined,
  leaseMs: number,
): boolean {
  return holdLeftMs !== undefined && holdLeftMs >= leaseMs * RENEWED_FRACTION;
}

/** No holder that other daemons reach. */
const NO_HOLDERS: ReadonlySet<string> = new Set();

/**
 * Time after a restore in which a connected planner does not revoke the keys of
 * that holder again, in milliseconds: that of the detection of a loss, so that
 * a holder which is lost after the restore loses its keys as soon as any other.
 */
const ASK_AGAIN_MS = 2000;

/**
 * Chooses the lost holders whose keys a planner revokes.
 *
 * A holder that has restored its keys lives, and the way to it is what fails:
 * the evidence from before the restore does not count again.
 *
 * A connected planner revokes the keys of all but those that have just restored
 * them, and those that it knows by other daemons to renew their leases. Any
 * other one cannot tell a lost holder from its own cut, so it asks through the
 * store: it revokes the keys of one holder, whose daemon restores them if it
 * lives. If they are not restored within half a lease, the others are taken to
 * be lost too; a planner that nobody answers proceeds one by one. A restore
 * shows that holders live that the planner does not reach: nothing is revoked
 * for the time of a lease, and then another holder is asked first.
 *
 * @param lost Lost holders of keys, as the planner sees them.
 * @param leaseMs Bound of a lease, in milliseconds.
 * @param reachedByOthers Holders that other daemons reach, and whose leases are
 *     renewed.
 *
 * @example
 * chooseRevocations('alone', ['b', 'c'], NO_REVOCATIONS, now, 5250); // ['b']
 */
export function chooseRevocations(
  reach: PlannerReach,
  lost: readonly string[],
  {current, restoredAt}: RevocationHistory,
  now: number,
  leaseMs: number,
  reachedByOthers = NO_HOLDERS,
): readonly string[] {
  const restoredOf = (holder: string) => restoredAt.get(holder) ?? -Infinity;
  const restoredWithin = (timeMs: number) => (holder: string) =>
    now - restoredOf(holder) < timeMs;
  if (reach === 'connected') {
    const hasJustRestored = restoredWithin(ASK_AGAIN_MS);
    return lost.filter(
      holder => !hasJustRestored(holder) && !reachedByOthers.has(holder),
    );
  }
  if (lost.some(restoredWithin(leaseMs))) return [];
  const ages = lost
    .flatMap(holder => current.get(holder) ?? [])
    .map(({seenAt}) => now - seenAt);
  if (ages.length > 0) {
    const isUnrestored = Math.max(...ages) >= leaseMs * RESTORE_FRACTION;
    return reach === 'partial' && isUnrestored ? lost : [];
  }
  const oldest = Math.min(...lost.map(restoredOf));
  const first = lost.find(holder => restoredOf(holder) === oldest);
  return first === undefined ? [] : [first];
}
