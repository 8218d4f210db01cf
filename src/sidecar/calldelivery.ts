import {
  NO_CALL_GRANTS,
  recordCall,
  contains,
  recordOutcome,
  dropEndedCalls,
  confirmTerms,
  isGrantDue,
  holdsByCall,
  pendingUntil,
  overlaps,
  release,
  raiseFence,
  isSameIncarnation,
  termsToRelease,
  removeRange,
  type CallOutcome,
  type HeldRange,
  type KeyRange,
  type CallGrants,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';
import type {Dispatcher} from 'undici';
import type {Address} from '../model/index.js';
import type {Pools, Statement} from '../upstream/index.js';
import {
  readGrantableKeys,
  logGrants,
  type GrantDelivery,
  type DeliveryContext,
  type Recipient,
} from './delivery.js';
import {SIDECAR_EVENTS} from './events.js';
import {RENEWAL_FRACTION, leaseBoundMs} from './lease.js';
import {changeMap} from './maps.js';

/** Result of a call to release a range. */
export type ReleaseOutcome =
  | {
      readonly kind: 'released';
      readonly handover: string;
      readonly statement: Statement;
    }
  /**
   * The call failed or was not answered; the instance may still hold the range.
   */
  | {
      readonly kind: 'unknown';
      readonly message: string;
      readonly statement: Statement;
    };

/** Result of a call to grant a range. */
export interface GrantOutcome {
  readonly kind: CallOutcome;
  readonly message: string;
  /** What the instance states about itself in the response. */
  readonly statement: Statement;
}

/**
 * Connections for calls to an instance. Requests are never sent on them, so that
 * no copy of the answer to one can come in place of the answer to a call.
 */
export interface CallConnections {
  /** Returns the connections that calls share. */
  readonly shared: (address: Address) => Pick<Dispatcher, 'dispatch'>;
  /** Returns a connection for one call, on which nothing was sent before. */
  readonly open: Pools['open'];
}

/** Calls to an instance that grant keys and release them. */
export interface InstanceCalls {
  /**
   * Grants a range for a lease that is counted from the arrival of the call.
   * The call must not arrive after its time limit.
   */
  readonly grant: (
    to: Recipient,
    range: HeldRange,
    handover: string,
    holdMs: number,
    limitMs: number,
  ) => Promise<GrantOutcome>;
  /**
   * Requests the release of a range; answered once requests for its keys have
   * ended.
   */
  readonly release: (
    to: Recipient,
    range: HeldRange,
    limitMs: number,
  ) => Promise<ReleaseOutcome>;
}

/**
 * Time limit of a call that grants keys, in milliseconds. It is subtracted from
 * the lease, which is counted from the arrival of the call.
 */
const GRANT_TIMEOUT_MS = 500;

/** Shortest lease that is granted by a call, in milliseconds. */
const MIN_LEASE_MS = 1000;

/** Delay before a failed call or write is retried, in milliseconds. */
const RETRY_DELAY_MS = 150;

/** Shortest interval between two reports of keys not held that are acted on. */
const DENIAL_INTERVAL_MS = 300;

/** Time at which a read of the map began. */
interface ReadStart {
  readonly at: number;
  /** The same by the time of day, in Unix milliseconds. */
  readonly wallAt: number;
}

/**
 * Creates a delivery that grants keys by calls to the instance. A range is
 * granted only after a read of the map, and for a lease that ends a bounded
 * time after that read began, no matter when the call arrives within its time
 * limit. A range counts as released once the instance has confirmed the release
 * and no unanswered call can grant it again, or once its last lease has
 * expired.
 *
 * @example
 * const delivery = createCallDelivery(context, calls);
 * delivery.reconcile();
 */
export function createCallDelivery(
  context: DeliveryContext,
  calls: InstanceCalls,
): GrantDelivery {
  const {clock, wallClock, leaseMs, recipient, log} = context;
  const startedAt = clock();
  const renewalLeftMs = (leaseMs - GRANT_TIMEOUT_MS) * (1 - RENEWAL_FRACTION);
  let ledger: CallGrants = NO_CALL_GRANTS;
  let lastCallNumber = 0;
  let confirmedAt = -Infinity;
  /** Start of the read in progress that may confirm leases. */
  let readingSince = -Infinity;
  let hasGranted = false;
  /**
   * Time until which calls of an earlier process of this daemon may take
   * effect.
   */
  let earlierCallsUntil = -Infinity;
  let renewal: Promise<void> | undefined;
  let deniedAt = -Infinity;
  const rangesInRelease = new Set<KeyRange>();

  const runInBackground = (task: Promise<unknown>) => {
    task.catch((error: Error) => {
      const message = error.stack ?? error.message;
      log(SIDECAR_EVENTS.taskFailed, {message});
    });
  };

  const isReleasing = (range: KeyRange) =>
    [...rangesInRelease].some(other => overlaps(other, range));

  /** Returns the time since a read began, even if the machine was suspended. */
  const ageOf = ({at, wallAt}: ReadStart) =>
    Math.max(clock() - at, wallClock() - wallAt);

  const isCurrent = ({incarnation}: Recipient) =>
    isSameIncarnation(recipient()?.incarnation, incarnation);

  const grantRange = async (
    to: Recipient,
    term: RangeTerm,
    read: ReadStart,
  ) => {
    const sentAt = clock();
    const leftMs = leaseMs - ageOf(read) - GRANT_TIMEOUT_MS;
    if (leftMs < MIN_LEASE_MS || isReleasing(term)) return;
    const number = ++lastCallNumber;
    const range = rangeOf(term);
    const endsAt = read.at + leaseBoundMs(leaseMs);
    ledger = recordCall(ledger, {...range, number, endsAt});
    const {kind, message, statement} = await calls.grant(
      to,
      range,
      term.handover,
      leftMs,
      GRANT_TIMEOUT_MS,
    );
    context.onStatement(to.incarnation, {statement, sentAt, ran: false});
    if (isCurrent(to)) {
      ledger = recordOutcome(ledger, number, kind, sentAt + leftMs);
    }
    if (kind === 'granted') {
      context.onAnswer(to.incarnation);
      return;
    }
    const upstream = to.incarnation.id;
    log(SIDECAR_EVENTS.grantFailed, {upstream, ...range, kind, message});
    if (kind === 'outranked') {
      await changeMap(context, to.service, 'higher fencing token seen', m =>
        raiseFence(m, to.incarnation, range),
      );
    }
    runInBackground(context.sleep(RETRY_DELAY_MS).then(reconcile));
  };

  const dueTerms = (terms: readonly RangeTerm[], leftMs: number) =>
    terms.filter(
      term => !isReleasing(term) && isGrantDue(ledger, term, clock(), leftMs),
    );

  /** Returns the granted ranges whose leases have not expired. */
  const leasedRanges = (): readonly HeldRange[] =>
    ledger.held.filter(row => clock() < row.until);

  /** @param leftMs Leases with at least this much time left are not renewed. */
  const renewGrants = async (to: Recipient, leftMs: number) => {
    const start: ReadStart = {at: clock(), wallAt: wallClock()};
    readingSince = start.at;
    const read = await readGrantableKeys(context, to, leasedRanges);
    readingSince = -Infinity;
    if (!read || !isCurrent(to)) return;
    confirmedAt = start.at;
    const {version, terms} = read;
    const isNew = terms.some(term =>
      isGrantDue(ledger, term, clock(), -Infinity),
    );
    const ageMs = ageOf(start);
    if (isNew) logGrants(context, to, terms, {version, ageMs});
    await Promise.all(
      dueTerms(terms, leftMs).map(term => grantRange(to, term, start)),
    );
    hasGranted ||= leasedRanges().length > 0;
    context.onChange();
  };

  /**
   * Requests the release of a range until it is provably released and the map
   * records the release.
   */
  const releaseRange = async (to: Recipient, term: RangeTerm) => {
    const {service, incarnation} = to;
    const expiresAt = Math.max(confirmedAt, startedAt) + leaseBoundMs(leaseMs);
    const isReleaseDue = (map = context.view().maps.get(service)?.value) => {
      const wanted =
        map && isCurrent(to) ? termsDueForRelease(to, map.terms) : [];
      return wanted.some(other => overlaps(other, term));
    };
    const range = rangeOf(term);
    ledger = removeRange(ledger, range);
    context.onChange();
    let handover: string | undefined;
    while (isReleaseDue()) {
      const limitMs = expiresAt - clock();
      if (handover === undefined && limitMs > 0) {
        const sentAt = clock();
        const outcome = await calls.release(to, range, limitMs);
        const {statement} = outcome;
        context.onStatement(incarnation, {statement, sentAt, ran: false});
        const fields = {upstream: incarnation.id, ...range, kind: outcome.kind};
        if (outcome.kind === 'unknown') {
          const {message} = outcome;
          log(SIDECAR_EVENTS.releaseUnanswered, {...fields, message});
          await context.sleep(RETRY_DELAY_MS);
          continue;
        }
        log(SIDECAR_EVENTS.keysReleased, fields);
        ({handover} = outcome);
      }
      const {from, to: last} = term;
      const released = {from, to: last, handover: handover ?? ''};
      const map = await changeMap(context, service, 'release', m =>
        release(m, incarnation, [released]),
      );
      // A map in recovery does not record releases yet.
      if (map && !isReleaseDue(map.value)) break;
      await context.sleep(RETRY_DELAY_MS);
    }
  };

  /**
   * Returns the terms to be released; revoked ones of a live instance are
   * restored instead.
   */
  const termsDueForRelease = (
    {incarnation, state}: Recipient,
    terms: readonly RangeTerm[],
  ) =>
    termsToRelease({fence: 0, terms}, incarnation).filter(
      term => term.state === 'moving' || state !== 'ready',
    );

  const reconcile = () => {
    const to = recipient();
    const map = to && context.view().maps.get(to.service)?.value;
    if (!to || !map) return;
    ledger = dropEndedCalls(ledger, clock());
    for (const term of termsDueForRelease(to, map.terms)) {
      if (isReleasing(term)) continue;
      const callsOpenMs =
        Math.max(earlierCallsUntil, pendingUntil(ledger, term)) - clock();
      if (callsOpenMs > 0) continue;
      rangesInRelease.add(term);
      const task = releaseRange(to, term).finally(() => {
        rangesInRelease.delete(term);
        reconcile();
      });
      runInBackground(task);
    }
    if (renewal || to.isSilent || to.state === 'left') return;
    if (!needsRenewal(to, map)) return;
    void startRenewal(to, renewalLeftMs);
  };

  const startRenewal = (to: Recipient, leftMs: number) => {
    renewal = renewGrants(to, leftMs).finally(() => (renewal = undefined));
    runInBackground(renewal);
    return renewal;
  };

  const needsRenewal = (to: Recipient, map: RangeMap) => {
    if (
      map.isRecovering &&
      confirmTerms(map, to.incarnation, leasedRanges()) !== map
    )
      return true;
    const ownTerms = map.terms.filter(term =>
      isSameIncarnation(term.holder, to.incarnation),
    );
    const isRestorable = to.state === 'ready';
    return ownTerms.some(term => {
      if (term.state === 'revoked') return isRestorable;
      return (
        term.state === 'held' && dueTerms([term], renewalLeftMs).length > 0
      );
    });
  };

  return {
    reset: () => {
      ledger = {...ledger, held: []};
    },
    resume: () => {
      earlierCallsUntil = startedAt + leaseBoundMs(leaseMs);
      reconcile();
    },
    recordReport: () => {},
    answerHeartbeat: () => {
      reconcile();
      return Promise.resolve({holdMs: leaseMs});
    },
    reconcile,
    confirmAlive: async () => {
      const to = recipient();
      if (to?.state === 'ready' && !to.isSilent)
        await (renewal ?? startRenewal(to, Infinity));
    },
    holds: key => (hasGranted ? holdsByCall(ledger, key, clock()) : undefined),
    recordNotHeld: key => {
      const now = clock();
      if (
        now - deniedAt < DENIAL_INTERVAL_MS ||
        !holdsByCall(ledger, key, now)
      ) {
        return;
      }
      deniedAt = now;
      log(SIDECAR_EVENTS.keyNotHeld, {key});
      const lost = ledger.held.filter(row => contains(row, key));
      for (const row of lost) ledger = removeRange(ledger, row);
      reconcile();
    },
    leaseLeftMs: () => {
      const ends = ledger.held.map(row => row.until);
      if (ends.length === 0) return undefined;
      return Math.max(0, Math.min(...ends) - clock());
    },
    lastConfirmedAt: () => Math.max(confirmedAt, readingSince),
  };
}

function rangeOf({from, to, fence}: RangeTerm): HeldRange {
  return {from, to, fence};
}
