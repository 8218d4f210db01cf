import {setTimeout as sleep} from 'node:timers/promises';
import {
  incarnationOf,
  laterState,
  type Member,
  type MemberState,
} from '../fleet/index.js';
import {
  contains,
  expire,
  hasTermsInTransit,
  isGrantable,
  isHeldByPredecessor,
  isOrderedEarlier,
  revoke,
  isSameIncarnation,
  orderOf,
  takeOver,
  termsHeldAt,
  findTerm,
  type HeldRange,
  type HoldReport,
  type Incarnation,
  type RangeTerm,
  type ReadAnswer,
} from '../ranges/index.js';
import {
  formatAddress,
  parseAddress,
  sameAddress,
  type Address,
} from '../model/index.js';
import {LATE_TIMER_MS, type LocalInstance} from '../relay/index.js';
import type {GrantDelivery, DeliveryContext} from './delivery.js';
import {SIDECAR_EVENTS} from './events.js';
import {
  MAX_MISSED_HEARTBEATS,
  type Heartbeat,
  type HeartbeatAnswer,
} from './heartbeat.js';
import {leaseBoundMs} from './lease.js';
import {changeMap, type MapAccess} from './maps.js';
import {createChangeSignal} from './changesignal.js';
import {createRegistration} from './registration.js';
import {
  findClaim,
  findLater,
  isOngoing,
  isProved,
  recordClaim,
  withKnownOrder,
  type Claim,
} from './succession.js';

/** Environment of an instance manager. */
export interface InstanceManagerContext extends MapAccess {
  readonly node: string;
  readonly domain: string;
  /** Service that runs beside this daemon, by its settings. */
  readonly service: string;
  /** Address of the local instance by the settings, as `ip:port`. */
  readonly instance: string;
  readonly clock: () => number;
  readonly wallClock: DeliveryContext['wallClock'];
  readonly isKeyed: (service: string) => boolean;
  readonly heartbeatMs: number;
  readonly leaseMs: number;
  /**
   * Time after an announced shutdown from which the instance must receive no
   * new requests, in milliseconds.
   */
  readonly drainMs: number;
  /** Called with the statement of the instance in the response to a call. */
  readonly onStatement: DeliveryContext['onStatement'];
  /** Called with the slots of an instance that has started or was restored. */
  readonly onInstanceStart: (slots: number) => void;
  /** Creates the delivery that grants keys to the instance. */
  readonly createDelivery: (context: DeliveryContext) => GrantDelivery;
}

/**
 * Manages the local instance: registers it in the store, detects missed
 * heartbeats and grants it keys.
 */
export interface InstanceManager {
  /**
   * Processes a heartbeat and returns the grants for its response.
   *
   * @returns undefined when the heartbeat is stale or not from the instance that
   *     the settings name.
   */
  readonly handleHeartbeat: (
    beat: Heartbeat,
  ) => Promise<HeartbeatAnswer | undefined>;
  /**
   * Processes the instance's announcement that it is about to end.
   *
   * @param born Start of the life that is about to end. If it is not known, that
   *     is the current one, unless the connection is of an earlier one.
   * @param connection Number of the connection on which it came.
   * @returns false when the announcement is not from the current instance.
   */
  readonly handleDeparture: (
    id: string,
    born?: number,
    connection?: number,
  ) => Promise<boolean>;
  /**
   * Marks a ready instance as draining because one of its responses stated that
   * it is about to shut down.
   */
  readonly handleLeavingStatement: () => void;
  /**
   * Returns the instance and whether it is closed to new requests; undefined if
   * none is known.
   */
  readonly local: () => LocalInstance | undefined;
  readonly incarnation: () => Incarnation | undefined;
  /** Returns whether the instance has missed its heartbeats. */
  readonly isSilent: () => boolean;
  /**
   * Returns the time until the lease expires, in milliseconds; undefined when
   * this process has granted no keys.
   */
  readonly leaseLeftMs: () => number | undefined;
  /** Returns whether the instance holds a key, as far as this daemon knows. */
  readonly holds: (key: number) => boolean;
  /** Records that the instance has reported that it does not hold a key. */
  readonly recordNotHeld: (key: number) => void;
  /**
   * Returns whether the instance can expect a grant of a key, by the locally
   * known map and the state of the instance. True if that map has no entry for
   * the key, false if no instance is known.
   */
  readonly mayBeGranted: (key: number) => boolean;
  /**
   * Resolves at the next possible change of the keys that the instance holds.
   */
  readonly nextChange: () => Promise<void>;
  /**
   * Returns whether keys are passed to or from the instance, or have no holder
   * that it could become, by the locally known map.
   */
  readonly hasKeysInTransit: () => boolean;
  /**
   * Brings the grants in line with the map; called when the map of the
   * instance's service may have changed.
   */
  readonly reconcile: () => void;
  /**
   * Restores the instance that an earlier process of this daemon registered,
   * unless another incarnation is already known. If it was ready, it is sent
   * requests before its first heartbeat. Until this process grants keys, but
   * for two heartbeat intervals at most, it is taken to hold the keys that the
   * map assigns to it, and while the map recovers for a lease at most; the instance
   * itself checks whether it still holds them.
   * Withdraws the shutdown that the earlier process announced.
   */
  readonly resume: () => void;
  /**
   * Performs periodic work; called about twice a second.
   *
   * @param lateMs Time by which the call is late, in milliseconds.
   */
  readonly tick: (lateMs: number) => Promise<void>;
  /**
   * Returns whether the store is known to have that the instance leaves or has
   * left, if it does; this daemon may have acknowledged it.
   */
  readonly isLeavingRecorded: () => boolean;
  /** Records in the registration that the daemon is about to shut down. */
  readonly announceShutdown: () => void;
}

interface Instance {
  readonly id: string;
  readonly born: number;
  readonly order?: number;
  readonly service: string;
  readonly address: Address;
  readonly domain: string;
  readonly slots: number;
  readonly state: MemberState;
  /** Time from which the instance accepts no new requests. */
  readonly closesAt: number;
  readonly lastHeardAt: number;
  /** Sequence number of its last heartbeat; -1 before the first. */
  readonly sequence: number;
  /** Ranges in its last heartbeat; none if it does not report them. */
  readonly reported: readonly HeldRange[];
  /** State in its last heartbeat. */
  readonly reportedState?: Heartbeat['state'];
  /**
   * Connection of its first heartbeat; 0 if that was not received, or no life
   * before it under the same identifier is known.
   */
  readonly firstConnection: number;
}

/**
 * Heartbeat intervals for which the registration by an earlier process is
 * relied on.
 */
const RESTORED_HEARTBEATS = 2;

/** Largest sequence number of the first heartbeat of a life. */
const MAX_FIRST_SEQUENCE = 1;

/** Answers to heartbeats of which the instance may show that it has read them. */
const MAX_KNOWN_ANSWERS = 16;

/** Fraction of the drain time in which a leaving instance accepts requests. */
const OPEN_DRAIN_FRACTION = 0.4;

/**
 * Returns how long after an announced shutdown new requests are still sent to
 * the instance, in milliseconds.
 *
 * @param drainMs Time after the announcement from which no new request may
 *     arrive at the instance, in milliseconds.
 *
 * @example
 * openDrainMs(2000); // 800
 */
export function openDrainMs(drainMs: number): number {
  return drainMs * OPEN_DRAIN_FRACTION;
}

/**
 * Longest time for which a response waits until the registration is written.
 */
const REGISTRATION_WAIT_MS = 500;

/**
 * Creates the manager of the local instance.
 *
 * @example
 * const manager = createInstanceManager(context);
 * const answer = await manager.handleHeartbeat(heartbeat);
 */
export function createInstanceManager(
  context: InstanceManagerContext,
): InstanceManager {
  const {node, clock, log} = context;
  const changes = createChangeSignal();
  const startedAt = clock();
  let instance: Instance | undefined;
  let isInstanceSilent = false;
  let isStopping = false;
  let restoredUntil = -Infinity;
  /** Last answers to heartbeats of the current life, the latest first. */
  let answers: readonly ReadAnswer[] = [];
  /** Heartbeats of lives that started earlier than a known one, by the clock. */
  let claims: readonly Claim[] = [];
  /** What this process knows of lives before the current one. */
  let earlier = {lastHeardAt: startedAt, leasedAt: startedAt};

  const incarnation = (): Incarnation | undefined =>
    instance && incarnationOf({...instance, node});

  /**
   * Returns whether heartbeats suggest that another life runs under the id of
   * the current one, which then answers calls in its place.
   */
  const isIdClaimed = () =>
    claims.some(
      claim =>
        claim.life.id === instance?.id &&
        !isSameIncarnation(claim.life, incarnation()) &&
        isOngoing(claim, clock(), context.heartbeatMs),
    );

  const delivery = context.createDelivery({
    ...context,
    sleep,
    recipient: () => {
      const own = incarnation();
      if (!instance || !own || !context.isKeyed(instance.service)) {
        return undefined;
      }
      const {service, address, state} = instance;
      return {
        incarnation: own,
        service,
        address,
        state,
        isSilent: isInstanceSilent || isIdClaimed(),
      };
    },
    onAnswer: callee => {
      if (!instance || !isSameIncarnation(incarnation(), callee)) return;
      if (isIdClaimed()) return;
      instance = {...instance, lastHeardAt: clock()};
    },
    onChange: changes.notify,
  });

  const dueMember = (): Member | undefined => {
    if (!instance) return undefined;
    const {id, born, order, service, domain, slots, state} = instance;
    return {
      node,
      domain,
      service,
      id,
      born,
      ...(order !== undefined && {order}),
      slots,
      state,
      stopping: isStopping,
    };
  };

  const registration = createRegistration({...context, dueMember});

  const startInstance = (beat: Heartbeat) => {
    const {id, born, service, slots} = beat;
    const address = formatAddress(beat.address);
    log(SIDECAR_EVENTS.instanceStarted, {id, born, service, address});
    isInstanceSilent = false;
    context.onInstanceStart(slots);
  };

  /**
   * Transfers the keys of earlier incarnations at this daemon to the current
   * one.
   */
  const inheritKeys = async () => {
    const current = incarnation();
    if (!current || !instance) return;
    for (const [service, {value: map}] of context.view().maps) {
      const isDue = (term: RangeTerm) =>
        isHeldByPredecessor(term, current) || isOrderedEarlier(term, current);
      if (!termsHeldAt(map, node).some(isDue)) continue;
      const isSameService = service === instance.service;
      await changeMap(context, service, 'new incarnation', m =>
        isSameIncarnation(incarnation(), current)
          ? takeOver(m, current, isSameService)
          : m,
      );
    }
  };

  /**
   * Returns the instance in a state, or unchanged if its state is that or
   * later.
   */
  const advanceState = (
    known: Instance,
    state: MemberState,
    source: 'heartbeat' | 'announcement' | 'answer' | 'registration',
  ): Instance => {
    if (laterState(known.state, state) === known.state) return known;
    const {id} = known;
    log(SIDECAR_EVENTS.instanceLeaving, {id, state, source});
    const openUntil = clock() + openDrainMs(context.drainMs);
    return {...known, state, closesAt: Math.min(known.closesAt, openUntil)};
  };

  const applyHeartbeat = (
    beat: Heartbeat,
    {order}: Incarnation,
    arrivedAt: number,
  ) => {
    const {id, born, service, domain, slots, address, sequence} = beat;
    const known = isSameIncarnation(incarnation(), {node, id, born})
      ? instance
      : undefined;
    const reported = {
      id,
      born,
      order,
      service,
      domain,
      slots,
      address,
      lastHeardAt: arrivedAt,
      sequence,
      reported: beat.holds,
      reportedState: beat.state,
    };
    const {connection = 0} = beat;
    const isRestart = instance?.id === id && sequence <= MAX_FIRST_SEQUENCE;
    const {
      state = 'ready',
      closesAt = Infinity,
      firstConnection = isRestart ? connection : 0,
    } = known ?? {};
    instance = advanceState(
      {...reported, state, closesAt, firstConnection},
      beat.state,
      'heartbeat',
    );
    return beat.state !== 'ready' && known?.reportedState !== beat.state;
  };

  const isOutOfSequence = (beat: Heartbeat, own: Incarnation): boolean => {
    const known = registration.recorded();
    if (known?.state === 'left' && isSameIncarnation(incarnationOf(known), own))
      return true;
    const lastSequence = instance?.sequence ?? -1;
    return (
      isSameIncarnation(incarnation(), own) && beat.sequence <= lastSequence
    );
  };

  /** Returns the lives at this daemon that are registered or hold keys. */
  const knownLives = (): readonly Incarnation[] => {
    const current = incarnation();
    const recorded = registration.recorded();
    const held = [...context.view().maps.values()].flatMap(({value}) =>
      termsHeldAt(value, node),
    );
    return [
      ...(current ? [current] : []),
      ...(recorded ? [incarnationOf(recorded)] : []),
      ...held.map(({holder}) => holder),
    ];
  };

  /** Returns what this process knows of all lives but one. */
  const predecessorsOf = (own: Incarnation) => {
    const isCurrent = isSameIncarnation(incarnation(), own);
    const current = isCurrent ? undefined : instance;
    const leasedAt = isCurrent ? -Infinity : delivery.lastConfirmedAt();
    return {
      lastHeardAt: Math.max(earlier.lastHeardAt, current?.lastHeardAt ?? 0),
      leaseEndsAt:
        Math.max(earlier.leasedAt, leasedAt) + leaseBoundMs(context.leaseMs),
    };
  };

  /**
   * Returns the sender of a heartbeat with its position among the lives at this
   * daemon; undefined if it is an earlier life than the current one, or the
   * heartbeat is out of sequence.
   */
  const admit = (beat: Heartbeat, now: number): Incarnation | undefined => {
    const {id, born, sequence} = beat;
    const known = knownLives();
    const own = withKnownOrder({node, id, born}, known);
    if (isOutOfSequence(beat, own)) return undefined;
    const later = findLater(own, known);
    if (!later) return own;
    const {heartbeatMs} = context;
    const predecessors = predecessorsOf(own);
    const {lastHeardAt} = predecessors;
    claims = recordClaim(claims, own, sequence, now, lastHeardAt, heartbeatMs);
    const claim = findClaim(claims, own);
    if (claim && isProved(claim, predecessors, now, heartbeatMs)) {
      const order = orderOf(later) + 1;
      const fields = {id, born, order, predecessor: later.id};
      log(SIDECAR_EVENTS.instanceSucceeded, fields);
      return {...own, order};
    }
    const recorded = registration.recorded();
    const isLater = (other: Incarnation | undefined) =>
      other !== undefined && orderOf(other) > orderOf(own);
    return isLater(incarnation()) ||
      isLater(recorded && incarnationOf(recorded))
      ? undefined
      : own;
  };

  /** Notes until when the life that is replaced may have held keys. */
  const retireInstance = () => {
    if (!instance) return;
    earlier = {
      lastHeardAt: Math.max(earlier.lastHeardAt, instance.lastHeardAt),
      leasedAt: Math.max(earlier.leasedAt, delivery.lastConfirmedAt()),
    };
  };

  /** Returns whether a heartbeat is from the instance that the settings name. */
  const isFromLocalInstance = ({service, address}: Heartbeat) =>
    service === context.service &&
    sameAddress(address, parseAddress(context.instance));

  const handleHeartbeat = async (beat: Heartbeat) => {
    const arrivedAt = clock();
    const {leaseMs} = context;
    if (!isFromLocalInstance(beat)) {
      const {id, born, service} = beat;
      const address = formatAddress(beat.address);
      log(SIDECAR_EVENTS.heartbeatForeign, {id, born, service, address});
      return undefined;
    }
    const own = admit(beat, arrivedAt);
    if (!own) {
      const {id, born, sequence} = beat;
      log(SIDECAR_EVENTS.heartbeatStale, {id, born, sequence});
      return undefined;
    }
    const isNew = !isSameIncarnation(incarnation(), own);
    if (isNew) {
      retireInstance();
      startInstance(beat);
    }
    if (isInstanceSilent) log(SIDECAR_EVENTS.instanceRecovered, {id: beat.id});
    isInstanceSilent = false;
    claims = claims.filter(({life}) => isSameIncarnation(life, own));
    const isDepartureAnnounced = applyHeartbeat(beat, own, arrivedAt);
    if (isNew) {
      delivery.reset();
      answers = [];
    }
    const {sequence, holds, freed, readSequence} = beat;
    const report: HoldReport = {
      incarnation: own,
      sequence,
      holds,
      freed,
      arrivedAt,
      read: answers.find(answer => answer.sequence === readSequence),
    };
    delivery.recordReport(report);
    if (isNew || isDepartureAnnounced) {
      const written = registration.write().then(() => inheritKeys());
      await Promise.race([written, sleep(REGISTRATION_WAIT_MS)]);
      written.catch(error => logFailure(error));
    }
    if (!context.isKeyed(beat.service)) return {holdMs: leaseMs};
    const answer = await delivery.answerHeartbeat(beat, report);
    if (isSameIncarnation(incarnation(), own)) {
      const sent = {sequence, sentAfter: clock()};
      answers = [sent, ...answers].slice(0, MAX_KNOWN_ANSWERS);
    }
    return answer;
  };

  const logFailure = (error: unknown) =>
    log(SIDECAR_EVENTS.taskFailed, {message: String(error)});

  const hasLeft = () => instance?.state === 'left';

  const revokeKeys = async (purpose: string) => {
    const own = incarnation();
    if (!own || !instance || !context.isKeyed(instance.service)) return;
    const isDue = () =>
      isSameIncarnation(incarnation(), own) && (isInstanceSilent || hasLeft());
    // Computed again after a conflict, when a heartbeat may have arrived.
    await changeMap(context, instance.service, purpose, m =>
      isDue() ? revoke(m, own) : m,
    );
  };

  /**
   * Revokes the keys of an instance that is silent or has left, until the map
   * records it.
   */
  const revokeRemainingKeys = async () => {
    const own = incarnation();
    if (!own || !instance) return;
    if (!isInstanceSilent && !hasLeft()) return;
    const map = context.view().maps.get(instance.service)?.value;
    const isAssigned = ({state, holder}: RangeTerm) =>
      (state === 'held' || state === 'moving') &&
      isSameIncarnation(holder, own);
    if (map?.terms.some(isAssigned))
      await revokeKeys(hasLeft() ? 'left' : 'silent');
  };

  const expireKeys = async () => {
    const own = incarnation();
    if (!own || !instance) return;
    const map = context.view().maps.get(instance.service)?.value;
    const isRevokedHere = (term: RangeTerm) =>
      term.state === 'revoked' && isSameIncarnation(term.holder, own);
    if (!map?.terms.some(isRevokedHere)) return;
    const isExpired = () => {
      const last = Math.max(earlier.leasedAt, delivery.lastConfirmedAt());
      return clock() >= last + leaseBoundMs(context.leaseMs);
    };
    if (!isExpired()) return;
    // Computed again after a conflict, when a lease may have been confirmed.
    await changeMap(context, instance.service, 'lease expired', m =>
      isExpired() && isSameIncarnation(incarnation(), own) ? expire(m, own) : m,
    );
  };

  /**
   * Takes over a later state of the instance from its registration: an earlier
   * process of this daemon has acknowledged it, and this one has learned it since.
   */
  const adoptRecordedState = () => {
    const known = registration.recorded();
    if (!instance || !known) return;
    if (!isSameIncarnation(incarnation(), incarnationOf(known))) return;
    const adopted = advanceState(instance, known.state, 'registration');
    if (adopted !== instance) instance = {...adopted, closesAt: -Infinity};
  };

  const tick = async (lateMs: number) => {
    adoptRecordedState();
    if (!instance) return;
    const hasMissedHeartbeats = () =>
      clock() - (instance?.lastHeardAt ?? -Infinity) >
      context.heartbeatMs * MAX_MISSED_HEARTBEATS;
    // Heartbeats received while the event loop was blocked are read after this
    // call.
    const mayBeSilent = !isInstanceSilent && lateMs < LATE_TIMER_MS;
    if (mayBeSilent && hasMissedHeartbeats()) await delivery.confirmAlive();
    if (mayBeSilent && hasMissedHeartbeats() && instance.state !== 'left') {
      isInstanceSilent = true;
      const {id, lastHeardAt} = instance;
      const quietMs = clock() - lastHeardAt;
      log(SIDECAR_EVENTS.instanceSilent, {id, quietMs});
    }
    await revokeRemainingKeys();
    await registration.write();
    await inheritKeys();
    if (isInstanceSilent || instance.state !== 'ready') await expireKeys();
    delivery.reconcile();
  };

  const handleDeparture = async (
    id: string,
    born?: number,
    connection = Infinity,
  ) => {
    if (!instance || instance.id !== id) return false;
    const {born: current, firstConnection} = instance;
    // A life opens its connections after the one before it has ended.
    const isOfOtherLife =
      born === undefined ? connection < firstConnection : born !== current;
    if (isOfOtherLife) {
      log(SIDECAR_EVENTS.departureStale, {id, born, current});
      return false;
    }
    if (instance.state === 'left') return true;
    instance = advanceState(instance, 'left', 'announcement');
    const written = registration.write().then(() => revokeKeys('left'));
    written.catch(error => logFailure(error));
    await Promise.race([written, sleep(REGISTRATION_WAIT_MS)]);
    return true;
  };

  const handleLeavingStatement = () => {
    if (instance?.state !== 'ready') return;
    instance = advanceState(instance, 'draining', 'answer');
    registration.write().catch(error => logFailure(error));
  };

  const resume = () => {
    const known = registration.recorded();
    if (!known || known.service !== context.service) return;
    // The process before may have called a life that it could not register.
    if (instance) {
      adoptRecordedState();
      delivery.resume();
      return;
    }
    const {id, born, order, service, domain, slots, state} = known;
    const closesAt = state === 'ready' ? Infinity : -Infinity;
    const address = parseAddress(context.instance);
    const lastHeardAt = clock();
    instance = {
      id,
      born,
      order,
      service,
      domain,
      slots,
      state,
      address,
      closesAt,
      lastHeardAt,
      sequence: -1,
      reported: [],
      firstConnection: 0,
    };
    context.onInstanceStart(slots);
    delivery.resume();
    restoredUntil = lastHeardAt + context.heartbeatMs * RESTORED_HEARTBEATS;
    log(SIDECAR_EVENTS.instanceRestored, {id, born, service, state});
    // Until then other daemons send no requests to a service without keys.
    if (known.stopping) registration.write().catch(error => logFailure(error));
  };

  const termAt = (key: number) => {
    const map = instance && context.view().maps.get(instance.service)?.value;
    return map && findTerm(map, key);
  };

  const isHeldByMap = (key: number) => {
    const term = termAt(key);
    return (
      term?.state === 'held' && isSameIncarnation(term.holder, incarnation())
    );
  };

  /**
   * Returns whether the instance may hold a key by a grant of an earlier process,
   * which this one cannot renew while the map recovers. The instance itself
   * checks whether it still does.
   */
  const mayHoldInRecovery = (key: number) => {
    if (!instance || clock() >= startedAt + context.leaseMs) return false;
    const known = context.view().maps.get(instance.service);
    if (!known?.isUndone && !known?.value.isRecovering) return false;
    const {reported} = instance;
    return reported.length === 0 || reported.some(row => contains(row, key));
  };

  return {
    resume,
    handleHeartbeat,
    handleDeparture,
    handleLeavingStatement,
    incarnation,
    isSilent: () => isInstanceSilent,
    leaseLeftMs: delivery.leaseLeftMs,
    local: () => {
      if (!instance) return undefined;
      const {id, born, service, address, slots, closesAt} = instance;
      const closed = clock() >= closesAt;
      return {id, born, service, address, slots, isClosed: closed};
    },
    holds: key =>
      delivery.holds(key) ??
      ((clock() <= restoredUntil || mayHoldInRecovery(key)) &&
        isHeldByMap(key)),
    recordNotHeld: delivery.recordNotHeld,
    mayBeGranted: key => {
      const own = incarnation();
      const isReady = !isInstanceSilent && instance?.state === 'ready';
      return own !== undefined && isGrantable(termAt(key), own, isReady);
    },
    nextChange: changes.nextChange,
    hasKeysInTransit: () => {
      const own = incarnation();
      const map = instance && context.view().maps.get(instance.service)?.value;
      return own !== undefined && !!map && hasTermsInTransit(map, own);
    },
    reconcile: delivery.reconcile,
    tick,
    isLeavingRecorded: () => {
      if (!instance || instance.state === 'ready') return true;
      const known = registration.recorded();
      return (
        known?.state === instance.state &&
        isSameIncarnation(incarnationOf(known), incarnation())
      );
    },
    announceShutdown: () => {
      isStopping = true;
      registration.write().catch(error => logFailure(error));
    },
  };
}
