import {
  isAcceptingRequests,
  incarnationOf,
  membersOf,
  type Member,
} from '../fleet/index.js';
import {
  EMPTY_MAP,
  cancelMoves,
  divide,
  expire,
  isWritten,
  settleMap,
  createMap,
  placeFree,
  planBalance,
  planFree,
  planDraining,
  revoke,
  isSameIncarnation,
  startMoves,
  ALL_KEYS,
  type Candidate,
  type RequestRates,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';
import {isLost, type PeerStatus} from '../relay/index.js';
import {SIDECAR_EVENTS} from './events.js';
import {leaseBoundMs} from './lease.js';
import {
  NO_REVOCATIONS,
  chooseRevocations,
  chooseWitnesses,
  isRenewed,
  observeRevocations,
  reachOf,
  type HolderKeys,
  type PlannerReach,
} from './losses.js';
import {changeMap, type MapAccess} from './maps.js';
import {sumHeat} from './loadmeter.js';

/** Status of an instance, as reported by its daemon. */
export interface InstanceStatus {
  readonly id: string;
  readonly born: number;
  /** The instance has missed its heartbeats. */
  readonly silent: boolean;
  /** Requests per second that the instance can execute. */
  readonly capacity: number;
  /** The capacity is assumed: the instance has executed too few requests. */
  readonly isAssumed?: boolean;
  readonly heat: readonly (readonly [number, number])[];
  /**
   * Time until the lease of its keys expires unless it is renewed, in
   * milliseconds; undefined when the daemon process has granted none.
   */
  readonly holdLeftMs?: number;
}

/** Environment of a planner. */
export interface PlannerContext extends MapAccess {
  readonly node: string;
  readonly clock: () => number;
  readonly leaseMs: number;
  /**
   * Probes the daemon of a member; resolves to undefined when it does not
   * answer.
   */
  readonly probe: (node: string) => Promise<InstanceStatus | undefined>;
  /**
   * Lets another daemon probe the daemon of a member; resolves to undefined when
   * either does not answer.
   */
  readonly probeThrough: (
    via: string,
    node: string,
  ) => Promise<InstanceStatus | undefined>;
  /** Returns the current state of a daemon. */
  readonly peerState: (node: string) => PeerStatus;
}

/** Plans which members hold the keys of a service. */
export interface Planner {
  /** Updates the map according to the members; called about once a second. */
  readonly tick: (service: string) => Promise<void>;
}

/** Number of daemons that may take over planning when preceding ones fail. */
const STANDBY_COUNT = 3;

/** Time without a change of the members before the initial assignment. */
const MEMBERSHIP_SETTLE_MS = 1200;

/** Interval between two plans that only balance load. */
const BALANCE_INTERVAL_MS = 3000;

/**
 * Tolerance: load relative to the mean above which keys are moved. Ease:
 * utilization up to which requests hardly wait for one of a few slots. Moves:
 * limit per plan.
 */
const BALANCE_OPTIONS = {tolerance: 1.2, lowUtilization: 0.55, maxMoves: 12};

/** Daemons of other services that are asked if most members are lost. */
const WITNESS_COUNT = 9;

/** Indirect probes of a daemon that the planner does not reach, with each plan. */
const INDIRECT_PROBE_COUNT = 2;

/**
 * Time by which a planner that is not connected ends revoked terms later, so
 * that a connected one comes first, in milliseconds: two plans.
 */
const PRECEDENCE_MS = 2000;

/**
 * Age up to which a status tells the load of a member, in milliseconds: three
 * plans, so that a single probe may fail.
 */
const STATUS_VALID_MS = 3000;

/** Assumed capacity of a member whose status is not known yet. */
const DEFAULT_CAPACITY_PER_SECOND = 80;

/**
 * Creates a planner. Among the daemons of a service, the first live one plans;
 * conditional writes make concurrent planners harmless.
 *
 * @example
 * const planner = createPlanner(context);
 * await planner.tick('stock');
 */
export function createPlanner(context: PlannerContext): Planner {
  const {node, clock, log} = context;
  const statuses = new Map<string, InstanceStatus>();
  /** Time at which the status of each member was read. */
  const statusReadAt = new Map<string, number>();
  /** Time at which this process first saw each revocation. */
  const revocationSeenAt = new Map<string, number>();
  /** Maps in recovery, by service, and when this process first saw them. */
  const recoveries = new Map<string, {floor: number; since: number}>();
  let revocations = NO_REVOCATIONS;
  /** Holders that this daemon does not reach, and others do. */
  let reachedByOthers: ReadonlySet<string> = new Set();
  let membershipKey = '';
  let settledAt = clock();
  let balancedAt = clock();

  /**
   * Refreshes the status of a member; waits only if it is considered reachable.
   */
  const refreshStatus = async (member: Member) => {
    const refresh = context.probe(member.node).then(status => {
      if (!status) return;
      statuses.set(member.node, status);
      statusReadAt.set(member.node, clock());
    });
    if (context.peerState(member.node).liveness === 'alive') await refresh;
  };

  const isLostMember = ({node}: Member) => isLost(context.peerState(node));

  /**
   * Returns whether this daemon is the first live one of the service. Only a few
   * daemons ask those before them; members that are lost already don't count.
   */
  const isPlanner = async (members: readonly Member[]) => {
    const ranked = [...members].sort((a, b) => (a.node < b.node ? -1 : 1));
    const rank = ranked.findIndex(member => member.node === node);
    if (rank < 0) return false;
    const preceding = ranked.slice(0, rank);
    const live = preceding.filter(member => !isLostMember(member));
    if (live.length > STANDBY_COUNT) return false;
    for (const member of [...live, ...preceding.filter(isLostMember)]) {
      await refreshStatus(member);
      if (!isLostMember(member)) return false;
    }
    return true;
  };

  const candidatesOf = (members: readonly Member[]): readonly Candidate[] => {
    const able = members
      .filter(member => isAcceptingRequests(member) && !isLostMember(member))
      .filter(member => !statuses.get(member.node)?.silent)
      .map(member => {
        const status = statuses.get(member.node);
        const current = status?.id === member.id ? status : undefined;
        return {incarnation: incarnationOf(member), status: current};
      });
    const typical = typicalCapacity(able.map(({status}) => status));
    return able.map(({incarnation, status}) => {
      const reported = status?.capacity ?? DEFAULT_CAPACITY_PER_SECOND;
      const isMeasured = status && !status.isAssumed;
      const capacity = isMeasured ? reported : Math.min(reported, typical);
      return {incarnation, capacity};
    });
  };

  /** Returns the candidates whose load is known now. */
  const recipientsOf = (candidates: readonly Candidate[]) =>
    withRecentStatus(candidates, statusReadAt, clock() - STATUS_VALID_MS);

  const logUnknownLoads = (
    service: string,
    candidates: readonly Candidate[],
  ) => {
    const known = recipientsOf(candidates);
    const unknown = candidates.filter(candidate => !known.includes(candidate));
    if (unknown.length === 0) return;
    const peers = unknown.map(({incarnation}) => incarnation.node).join(' ');
    const count = unknown.length;
    log(SIDECAR_EVENTS.loadUnknown, {service, count, peers});
  };

  const expiredTerms = (
    map: RangeMap,
    reach: PlannerReach,
  ): readonly RangeTerm[] => {
    const waitMs =
      leaseBoundMs(context.leaseMs) +
      (reach === 'connected' ? 0 : PRECEDENCE_MS);
    const revoked = new Map<string, RangeTerm>();
    for (const term of map.terms) {
      if (term.state !== 'revoked') continue;
      revoked.set(`${incarnationKey(term.holder)} ${term.revocation}`, term);
    }
    for (const name of revocationSeenAt.keys()) {
      if (!revoked.has(name)) revocationSeenAt.delete(name);
    }
    const due: RangeTerm[] = [];
    for (const [name, term] of revoked) {
      const since = revocationSeenAt.get(name) ?? clock();
      revocationSeenAt.set(name, since);
      if (clock() >= since + waitMs) due.push(term);
    }
    return due;
  };

  /** Asks daemons of other services whether they answer this one. */
  const askWitnesses = async (service: string) => {
    const others = [...context.view().members.values()]
      .map(({value}) => value)
      .filter(member => member.service !== service && member.state !== 'left');
    const chosen = chooseWitnesses(others, WITNESS_COUNT, Math.random);
    const answers = await Promise.all(
      chosen.map(witness => context.probe(witness.node)),
    );
    return {
      witnesses: answers.length,
      answeringWitnesses: answers.filter(status => status).length,
    };
  };

  const judgeReach = async (service: string, members: readonly Member[]) => {
    const evidence = {
      members: members.length,
      reachedMembers: members.filter(member => !isLostMember(member)).length,
      witnesses: 0,
      answeringWitnesses: 0,
    };
    if (reachOf(evidence) === 'connected') return 'connected';
    return reachOf({...evidence, ...(await askWitnesses(service))});
  };

  const observeMap = (map: RangeMap) => {
    const holders = holdersOf(map);
    revocations = observeRevocations(revocations, holders, clock());
    return holders;
  };

  /**
   * Asks members that this daemon reaches for lost holders that have restored
   * their keys, and so have lived on after it had lost sight of them.
   */
  const probeIndirectly = async (
    service: string,
    members: readonly Member[],
  ) => {
    const lostNodes = new Set(
      members.filter(isLostMember).map(member => member.node),
    );
    const {terms} = context.view().maps.get(service)?.value ?? EMPTY_MAP;
    const doubted = new Set(
      terms
        .map(({holder}) => holder)
        .filter(holder => lostNodes.has(holder.node))
        .filter(holder => revocations.restoredAt.has(incarnationKey(holder)))
        .map(holder => holder.node),
    );
    const others = members.filter(
      member => member.node !== node && !isLostMember(member),
    );
    const reached = new Set<string>();
    const ask = async (via: string, peer: string) => {
      const status = await context.probeThrough(via, peer);
      if (!status || !isRenewed(status.holdLeftMs, context.leaseMs)) return;
      const {id, born} = status;
      reached.add(incarnationKey({node: peer, id, born}));
    };
    const questions = [...doubted].flatMap(peer =>
      chooseWitnesses(others, INDIRECT_PROBE_COUNT, Math.random).map(via =>
        ask(via.node, peer),
      ),
    );
    await Promise.all(questions);
    for (const name of reached) {
      if (reachedByOthers.has(name)) continue;
      log(SIDECAR_EVENTS.memberReachedByOthers, {service, holder: name});
    }
    reachedByOthers = reached;
  };

  /**
   * Chooses the holders at lost daemons whose keys are revoked: the registered
   * instances, and earlier ones whose keys these have not taken over.
   */
  const chooseLost = (
    map: RangeMap,
    members: readonly Member[],
    reach: PlannerReach,
  ): readonly Incarnation[] => {
    const holders = observeMap(map);
    const lostNodes = new Set(
      members.filter(isLostMember).map(member => member.node),
    );
    const lost = new Map(
      map.terms
        .filter(
          ({state, holder}) => state !== 'free' && lostNodes.has(holder.node),
        )
        .map(({holder}) => [incarnationKey(holder), holder]),
    );
    const chosen = chooseRevocations(
      reach,
      [...lost.keys()].sort(),
      revocations,
      clock(),
      leaseBoundMs(context.leaseMs),
      reachedByOthers,
    );
    return chosen
      .filter(holder => holders.get(holder)?.hasActive)
      .flatMap(holder => lost.get(holder) ?? []);
  };

  const isSettled = (members: readonly Member[]) => {
    const names = members.map(m => incarnationKey(incarnationOf(m))).sort();
    const current = names.join();
    if (current !== membershipKey) {
      membershipKey = current;
      settledAt = clock();
    }
    return clock() - settledAt >= MEMBERSHIP_SETTLE_MS;
  };

  /**
   * Ends the recovery of a map once all leases have expired that were granted
   * before this process saw it.
   */
  const settleWhenDue = async (service: string, {floor = 0}: RangeMap) => {
    const known = recoveries.get(service);
    const since = known?.floor === floor ? known.since : clock();
    recoveries.set(service, {floor, since});
    if (clock() < since + leaseBoundMs(context.leaseMs)) return;
    const settled = await changeMap(context, service, 'settle', m =>
      m.floor === floor ? settleMap(m) : m,
    );
    if (!settled || settled.value.isRecovering) return;
    const seconds = Math.round((clock() - since) / 1000);
    log(SIDECAR_EVENTS.mapSettled, {service, floor, seconds});
  };

  const assignInitialMap = async (service: string, heat: RequestRates) => {
    const {from, to} = ALL_KEYS;
    await changeMap(context, service, 'first assignment', map => {
      if (map.terms.length > 0) return map;
      const candidates = candidatesOf(membersOf(context.view(), service));
      if (candidates.length === 0) return map;
      return createMap(divide(heat, from, to, candidates), map);
    });
  };

  const planChanges = (
    map: RangeMap,
    members: readonly Member[],
    candidates: readonly Candidate[],
    heat: RequestRates,
    ended: readonly Incarnation[],
    due: readonly RangeTerm[],
    reach: PlannerReach,
  ): RangeMap => {
    const isCandidate = (life: Incarnation | undefined) =>
      candidates.some(candidate =>
        isSameIncarnation(candidate.incarnation, life),
      );
    let next = map;
    for (const life of ended) next = revoke(next, life);
    // A planner that is not connected cancels only the moves of keys that
    // would otherwise pass to a member that it does not reach.
    const isCancelled = (term: RangeTerm) => {
      if (reach === 'connected') return term.state !== 'free';
      const isNextRevoked = ended.some(life =>
        isSameIncarnation(life, term.next),
      );
      return isNextRevoked || isDue(term, due);
    };
    next = cancelMoves(
      next,
      term => !isCandidate(term.next) && isCancelled(term),
    );
    if (next.isRecovering) return next;
    for (const {holder, revocation} of due) {
      next = expire(next, holder, revocation);
    }
    const recipients = recipientsOf(candidates);
    next = placeFree(next, planFree(next, heat, recipients));
    const isLeaving = (life: Incarnation) =>
      members.some(
        member =>
          member.state !== 'ready' &&
          isSameIncarnation(incarnationOf(member), life),
      );
    return startMoves(next, planDraining(next, heat, recipients, isLeaving));
  };

  const tick = async (service: string) => {
    const members = membersOf(context.view(), service);
    if (!members.some(member => member.node === node)) return;
    if (!(await isPlanner(members.filter(isAcceptingRequests)))) {
      // Restores from before another daemon planned would seem to be new.
      revocations = NO_REVOCATIONS;
      return;
    }
    const others = members.filter(member => member.state !== 'left');
    await Promise.all([
      probeIndirectly(service, others),
      ...others.map(refreshStatus),
    ]);
    const reach = await judgeReach(service, others);
    const candidates = candidatesOf(members);
    if (candidates.length === 0) return;
    const heat = sumHeat(others.map(m => statuses.get(m.node)?.heat ?? []));
    const known = context.view().maps.get(service);
    if (known?.isUndone && isWritten(known.value)) {
      await changeMap(context, service, 'recovery', m => m);
      return;
    }
    const map = known?.value ?? EMPTY_MAP;
    if (map.isRecovering) await settleWhenDue(service, map);
    if (map.terms.length === 0) {
      if (!isSettled(members) || reach !== 'connected') return;
      if (map.isRecovering) return;
      await assignInitialMap(service, heat);
      return;
    }
    const due = expiredTerms(map, reach);
    let lost: readonly Incarnation[] = [];
    // Computed again after a conflict, when members may have answered, restored
    // their keys or left. Terms that are due are known by their revocations.
    const plan = (m: RangeMap) => {
      const current = membersOf(context.view(), service);
      const present = current.filter(member => member.state !== 'left');
      lost = chooseLost(m, present, reach);
      const ended = [...lost, ...leftHolders(m, current)];
      const able = candidatesOf(current);
      if (able.length === 0) return m;
      return planChanges(m, present, able, heat, ended, due, reach);
    };
    const planned = plan(map);
    if (planned !== map) {
      const written = await changeMap(context, service, 'plan', plan);
      for (const {id} of lost) {
        log(SIDECAR_EVENTS.memberLost, {service, upstream: id});
      }
      if (written) observeMap(written.value);
      return;
    }
    const isBalanceDue =
      reach === 'connected' && clock() - balancedAt >= BALANCE_INTERVAL_MS;
    if (!isStable(map) || !isBalanceDue) return;
    balancedAt = clock();
    logUnknownLoads(service, candidates);
    await changeMap(context, service, 'balance', m => {
      if (!isStable(m) || m.isRecovering) return m;
      const able = candidatesOf(membersOf(context.view(), service));
      const recipients = recipientsOf(able);
      const moves = planBalance(m, heat, able, BALANCE_OPTIONS, recipients);
      return startMoves(m, moves);
    });
  };

  return {tick};
}

/**
 * Returns the candidates whose status was read since a time; all if none was. An
 * overloaded daemon may accept no probe for many plans. By the status from before
 * it would be the one with the most spare capacity, and get more keys with each.
 */
function withRecentStatus(
  candidates: readonly Candidate[],
  readAt: ReadonlyMap<string, number>,
  since: number,
): readonly Candidate[] {
  const recent = candidates.filter(
    ({incarnation}) => (readAt.get(incarnation.node) ?? -Infinity) >= since,
  );
  return recent.length > 0 ? recent : candidates;
}

/**
 * Returns the median of the measured capacities; infinite if there is none. An
 * instance without requests would seem faster than those that execute them, and
 * get more keys than it can serve.
 */
function typicalCapacity(
  statuses: readonly (InstanceStatus | undefined)[],
): number {
  const measured = statuses
    .flatMap(status => (status && !status.isAssumed ? [status.capacity] : []))
    .sort((a, b) => a - b);
  return measured.length > 0 ? measured[measured.length >> 1] : Infinity;
}

function incarnationKey({node, id, born}: Incarnation): string {
  return `${node} ${id} ${born}`;
}

function isStable({terms}: RangeMap): boolean {
  return terms.every(({state}) => state === 'held');
}

/**
 * Returns the instances that have left and still have keys, since their daemons
 * were gone before they could revoke them.
 */
function leftHolders(
  {terms}: RangeMap,
  members: readonly Member[],
): readonly Incarnation[] {
  return members
    .filter(({state}) => state === 'left')
    .map(incarnationOf)
    .filter(life =>
      terms.some(
        ({state, holder}) =>
          (state === 'held' || state === 'moving') &&
          isSameIncarnation(holder, life),
      ),
    );
}

function holdersOf({terms}: RangeMap): ReadonlyMap<string, HolderKeys> {
  const holders = new Map<string, HolderKeys>();
  for (const {holder, state, revocation = 0} of terms) {
    if (state === 'free') continue;
    const name = incarnationKey(holder);
    const known = holders.get(name) ?? {hasActive: false};
    const keys =
      state === 'revoked'
        ? {...known, revocation: Math.max(revocation, known.revocation ?? 0)}
        : {...known, hasActive: true};
    holders.set(name, keys);
  }
  return holders;
}

function isDue(term: RangeTerm, due: readonly RangeTerm[]): boolean {
  return due.some(
    ({holder, revocation}) =>
      term.state === 'revoked' &&
      term.revocation === revocation &&
      isSameIncarnation(term.holder, holder),
  );
}
