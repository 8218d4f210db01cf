import {
  contains,
  findOutdatedHolds,
  findReleases,
  recordGrants,
  applyHeartbeat,
  heldBy,
  holdsByHeartbeat,
  newlyGranted,
  MAX_TRANSIT_MS,
  reportsRange,
  startGrants,
  release,
  restore,
  isSameIncarnation,
  dropRecordedReleases,
  type AnswerTimes,
  type HeartbeatGrants,
  type HeldRange,
  type HoldReport,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';
import {
  readGrantableKeys,
  logGrants,
  type GrantDelivery,
  type DeliveryContext,
} from './delivery.js';
import {SIDECAR_EVENTS} from './events.js';
import type {Heartbeat, HeartbeatAnswer} from './heartbeat.js';
import {RENEWAL_FRACTION, leaseBoundMs} from './lease.js';
import {changeMap} from './maps.js';

/**
 * Time within which an instance has read the response that grants it keys, in
 * milliseconds: local transfer and a turn of a busy event loop. A request sent
 * at the same time as the response may overtake it.
 */
const GRANT_READ_DELAY_MS = 20;

/**
 * Time after which an instance no longer waits for the response to a heartbeat,
 * in milliseconds.
 */
const RESPONSE_LIMIT_MS = 1000;

/**
 * Creates a delivery that grants keys in the responses to heartbeats. Keys are
 * granted only after a read of the map that began after the heartbeat arrived,
 * so that a lease expires within a bounded time after the write that revoked
 * it.
 *
 * @example
 * const delivery = createHeartbeatDelivery(context);
 * const answer = await delivery.answerHeartbeat(beat, report);
 */
export function createHeartbeatDelivery(
  context: DeliveryContext,
): GrantDelivery {
  const {clock, wallClock, leaseMs, recipient} = context;
  const timesOf = (arrivedAt: number): AnswerTimes => ({
    readableUntil: arrivedAt + leaseBoundMs(RESPONSE_LIMIT_MS),
    leasedUntil: arrivedAt + leaseBoundMs(leaseMs),
  });
  const timesOfPredecessor = timesOf(clock());
  let grants: HeartbeatGrants = startGrants([timesOfPredecessor]);
  /**
   * Newly granted ranges that the instance may not have read yet, until
   * `unreadUntil`.
   */
  let unreadRanges: readonly HeldRange[] = [];
  let unreadUntil = -Infinity;
  let answersInProgress = 0;
  /** Arrival of the latest heartbeat that was answered, by `clock`. */
  let latestArrivedAt = -Infinity;
  /** Time by which all leases of replaced incarnations have expired. */
  let replacedLeasedUntil = -Infinity;
  /** Report of the latest heartbeat of the current incarnation. */
  let latestReport: HoldReport | undefined;
  /** Its arrival, by `wallClock`. */
  let latestReceivedAt = -Infinity;
  /** Write of releases that is in progress. */
  let recording: Promise<void> | undefined;

  const lastConfirmedAt = () =>
    answersInProgress > 0
      ? Math.max(grants.arrivedAt, latestArrivedAt)
      : grants.arrivedAt;

  /** Discards all grants, and keeps in mind that their leases may go on. */
  const reset = () => {
    const {leasedUntil} = timesOf(lastConfirmedAt());
    replacedLeasedUntil = Math.max(replacedLeasedUntil, leasedUntil);
    // An incarnation that reads an answer runs, so that those before have ended.
    const replaced = {readableUntil: clock(), leasedUntil: replacedLeasedUntil};
    grants = startGrants([timesOfPredecessor, replaced]);
    latestReport = undefined;
  };

  /** Returns whether no later heartbeat and no other incarnation is known. */
  const isLatest = ({incarnation, sequence}: HoldReport) =>
    sequence === grants.sequence &&
    isSameIncarnation(grants.incarnation, incarnation);

  /** Returns the ranges of the last grant while its lease has not expired. */
  const leasedRanges = (): readonly HeldRange[] =>
    clock() < grants.arrivedAt + leaseMs - MAX_TRANSIT_MS ? grants.granted : [];

  const renewGrants = async (
    report: HoldReport,
  ): Promise<readonly RangeTerm[] | undefined> => {
    const to = recipient();
    if (!to || !isSameIncarnation(to.incarnation, report.incarnation))
      return undefined;
    const read = await readGrantableKeys(context, to, leasedRanges);
    if (!read) return undefined;
    const {map, version, terms: rows, isPartial} = read;
    // Leaving keys out would end leases of an earlier process of this daemon.
    if (isPartial && grants.grantedSequence < 0) return undefined;
    const {sequence, arrivedAt} = report;
    const ageMs = Math.max(clock() - arrivedAt, wallClock() - latestReceivedAt);
    if (!isLatest(report) || ageMs >= RESPONSE_LIMIT_MS) {
      context.log(SIDECAR_EVENTS.grantWithheld, {
        upstream: report.incarnation.id,
        sequence,
        version,
        ageMs: Math.round(ageMs),
        latest: grants.sequence,
      });
      return undefined;
    }
    if (!sameRanges(rows, grants.granted))
      logGrants(context, to, rows, {version, ageMs, sequence});
    unreadRanges = newlyGranted(grants.granted, rows);
    unreadUntil = clock() + GRANT_READ_DELAY_MS;
    grants = dropRecordedReleases(
      recordGrants(grants, sequence, rows, arrivedAt, timesOf(arrivedAt)),
      map,
    );
    context.onChange();
    if (unreadRanges.length > 0)
      setTimeout(context.onChange, GRANT_READ_DELAY_MS + 1);
    return rows;
  };

  /**
   * Returns the releases that a report proves. Keys that were revoked from an
   * instance that sends heartbeats are not released but restored.
   */
  const releasesBy = (report: HoldReport, map: RangeMap) => {
    const to = recipient();
    const isRestorable = to?.state === 'ready' && !to.isSilent;
    const due = isRestorable ? restore(map, report.incarnation) : map;
    return findReleases(due, grants, report);
  };

  /** Returns the map without what the latest heartbeat proves to be released. */
  const releaseRanges = (map: RangeMap): RangeMap => {
    if (!latestReport) return map;
    const released = releasesBy(latestReport, map);
    return released.length > 0
      ? release(map, latestReport.incarnation, released)
      : map;
  };

  /** Logs which report proves a release, and how long after a grant it came. */
  const logReleases = (service: string, {sequence}: HoldReport) => {
    context.log(SIDECAR_EVENTS.keysReleased, {
      service,
      upstream: grants.incarnation?.id,
      sequence,
      ranges: grants.released.length,
      grantedSequence: grants.grantedSequence,
      sinceGrantMs: Math.round(clock() - grants.arrivedAt),
    });
  };

  /** Records releases until the map lacks none that is proved. */
  const recordReleases = async (service: string) => {
    for (;;) {
      if (latestReport) logReleases(service, latestReport);
      const changed = await changeMap(
        context,
        service,
        'release',
        releaseRanges,
      );
      // The next heartbeat tries again.
      if (!changed) return;
      grants = dropRecordedReleases(grants, changed.value);
      if (releaseRanges(changed.value) === changed.value) return;
    }
  };

  /** Starts to record releases, unless a write of them is in progress. */
  const startRecordingReleases = (service: string) => {
    recording ??= recordReleases(service)
      .catch((error: Error) => {
        const message = error.stack ?? error.message;
        context.log(SIDECAR_EVENTS.taskFailed, {message});
      })
      .finally(() => (recording = undefined));
  };

  const logOutdatedHolds = (
    service: string,
    {incarnation, sequence}: HoldReport,
    outdated: readonly HeldRange[],
  ) => {
    const holds = outdated.map(({from, to, fence}) => `${from}-${to}:${fence}`);
    context.log(SIDECAR_EVENTS.keysHeldPastTerm, {
      service,
      upstream: incarnation.id,
      sequence,
      holds: holds.join(' '),
    });
  };

  const prepareAnswer = async (
    {service}: Heartbeat,
    report: HoldReport,
  ): Promise<HeartbeatAnswer> => {
    const map = context.view().maps.get(service)?.value;
    if (!map) return {holdMs: leaseMs};
    const outdated = findOutdatedHolds(map, report.incarnation, report.holds);
    if (outdated.length > 0) logOutdatedHolds(service, report, outdated);
    if (releasesBy(report, map).length > 0) startRecordingReleases(service);
    const dueTerms = heldBy(map, report.incarnation);
    const isFresh =
      outdated.length === 0 &&
      grants.grantedSequence >= 0 &&
      clock() - grants.arrivedAt < leaseMs * RENEWAL_FRACTION &&
      sameRanges(dueTerms, grants.granted) &&
      dueTerms.every(term => reportsRange(report.holds, term));
    if (isFresh) return {holdMs: leaseMs};
    const rows = await renewGrants(report);
    return rows ? {grants: rows, holdMs: leaseMs} : {holdMs: leaseMs};
  };

  const answerHeartbeat: GrantDelivery['answerHeartbeat'] = async (
    beat,
    report,
  ) => {
    answersInProgress += 1;
    latestArrivedAt = Math.max(latestArrivedAt, report.arrivedAt);
    try {
      return await prepareAnswer(beat, report);
    } finally {
      answersInProgress -= 1;
    }
  };

  return {
    reset,
    resume: () => {},
    recordReport: report => {
      latestReport = report;
      latestReceivedAt = wallClock();
      grants = applyHeartbeat(grants, report);
    },
    answerHeartbeat,
    reconcile: () => {},
    confirmAlive: () => Promise.resolve(),
    holds: key => {
      const isUnread = unreadRanges.some(range => contains(range, key));
      if (isUnread && clock() < unreadUntil) return false;
      if (grants.grantedSequence < 0) return undefined;
      return holdsByHeartbeat(grants, key, clock(), leaseMs);
    },
    recordNotHeld: () => {},
    leaseLeftMs: () =>
      grants.grantedSequence < 0
        ? undefined
        : grants.arrivedAt + leaseMs - clock(),
    lastConfirmedAt,
  };
}

function sameRanges(a: readonly HeldRange[], b: readonly HeldRange[]): boolean {
  return (
    a.length === b.length &&
    a.every(({from, to, fence}, i) => {
      const other = b[i];
      return from === other.from && to === other.to && fence === other.fence;
    })
  );
}
