import {setTimeout as sleep} from 'node:timers/promises';
import {
  incarnationOf,
  memberKey,
  type Member,
  type MemberState,
} from '../fleet/index.js';
import {
  expire,
  isGrantable,
  revoke,
  isSameIncarnation,
  takeOver,
  findTerm,
  type HoldReport,
  type Incarnation,
  type RangeTerm,
} from '../ranges/index.js';
import {formatAddress, parseAddress, type Address} from '../model/index.js';
import {LATE_MS, type LocalInstance} from '../relay/index.js';
import type {Delivery, DeliveryContext} from './delivery.js';
import {SIDECAR_EVENTS} from './events.js';
import type {Heartbeat, HeartbeatAnswer} from './heartbeat.js';
import {holdBoundMs} from './hold.js';
import {changeMap, type MapAccess} from './maps.js';
import {createSignal} from './signal.js';
import {writeFromView} from './write.js';

/** How a daemon looks after the instance beside it. */
export interface KeeperContext extends MapAccess {
  readonly node: string;
  readonly domain: string;
  /** Address of the instance, as `ip:port`, until it says so itself. */
  readonly instance: string;
  readonly clock: () => number;
  readonly isKeyed: (service: string) => boolean;
  readonly heartbeatMs: number;
  readonly holdMs: number;
  /** Time after an announced end in which no new request may arrive. */
  readonly drainMs: number;
  /** Told of what the instance says of itself in the answer to a call. */
  readonly stated: DeliveryContext['stated'];
  /** Told of the slots of an instance that is heard or taken up. */
  readonly began: (slots: number) => void;
  /** Creates the way in which the instance gets its keys. */
  readonly deliver: (context: DeliveryContext) => Delivery;
}

/** Looks after the instance beside a daemon. */
export interface Keeper {
  /**
   * Takes a heartbeat and says what the instance is to hold.
   *
   * @returns undefined when it belongs to an earlier life.
   */
  readonly hear: (beat: Heartbeat) => Promise<HeartbeatAnswer | undefined>;
  /** Takes the announcement that the instance is about to end. */
  readonly leave: (id: string) => Promise<boolean>;
  /** The instance says in an answer that it is about to end. */
  readonly leavingStated: () => void;
  readonly local: () => LocalInstance | undefined;
  readonly life: () => Incarnation | undefined;
  /** The instance has sent no heartbeat for a while. */
  readonly isSilent: () => boolean;
  /**
   * Returns the time until the last grant runs out, in milliseconds; undefined
   * when this process granted none.
   */
  readonly holdLeftMs: () => number | undefined;
  readonly holds: (key: number) => boolean;
  /** The instance says that it does not hold a key. */
  readonly denied: (key: number) => void;
  readonly awaits: (key: number) => boolean;
  readonly changed: () => Promise<void>;
  /** The map of the instance's service may have changed. */
  readonly mapChanged: () => void;
  /**
   * Takes the instance up again that the daemon's earlier process recorded. It
   * is served before its next heartbeat; whether it still holds its keys it
   * checks itself.
   */
  readonly resume: () => void;
  /**
   * Does what falls due with time; to be called about twice a second.
   *
   * @param lateMs Time by which the call is late, in milliseconds.
   */
  readonly tick: (lateMs: number) => Promise<void>;
  /** The daemon is about to stop. */
  readonly stop: () => void;
}

interface Instance {
  readonly id: string;
  readonly born: number;
  readonly service: string;
  readonly address: Address;
  readonly domain: string;
  readonly slots: number;
  readonly state: MemberState;
  /** Time from which it takes no new requests. */
  readonly closesAt: number;
  readonly heardAt: number;
  /** Number of its last heartbeat; -1 before the first. */
  readonly sequence: number;
  /** State that its last heartbeat told. */
  readonly toldState?: Heartbeat['state'];
}

/** Heartbeats that may be missed before an instance counts as silent. */
const MISSED_HEARTBEATS = 2.7;

/** Heartbeats for which the record of an earlier process is relied on. */
const RESUMED_HEARTBEATS = 2;

/** Share of the drain time in which an instance that leaves takes requests. */
const OPEN_SHARE = 0.4;

/**
 * Returns the time for which an instance that leaves still takes new requests,
 * in milliseconds.
 *
 * @param drainMs Time after which no new request may arrive there.
 *
 * @example
 * openMsOf(2000); // 800
 */
export function openMsOf(drainMs: number): number {
  return drainMs * OPEN_SHARE;
}

/** The states of an instance in the order in which it passes through them. */
const STATE_ORDER: readonly MemberState[] = ['ready', 'draining', 'left'];

function laterOf(a: MemberState, b: MemberState): MemberState {
  return STATE_ORDER.indexOf(a) > STATE_ORDER.indexOf(b) ? a : b;
}

/** Longest time that an announcement waits for its record, in milliseconds. */
const RECORD_WAIT_MS = 500;

/**
 * Creates the keeper of the instance beside a daemon.
 *
 * @example
 * const keeper = createKeeper(context);
 * const answer = await keeper.hear(heartbeat);
 */
export function createKeeper(context: KeeperContext): Keeper {
  const {node, clock, log} = context;
  const signal = createSignal();
  const startedAt = clock();
  let instance: Instance | undefined;
  let silent = false;
  let stopping = false;
  let resumedUntil = -Infinity;
  let writing: Promise<void> | undefined;

  const life = (): Incarnation | undefined =>
    instance && {node, id: instance.id, born: instance.born};

  const delivery = context.deliver({
    ...context,
    pause: sleep,
    recipient: () => {
      const own = life();
      if (!instance || !own || !context.isKeyed(instance.service)) {
        return undefined;
      }
      const {service, address, state} = instance;
      return {life: own, service, address, state, isSilent: silent};
    },
    answered: callee => {
      if (!instance || !isSameIncarnation(life(), callee)) return;
      instance = {...instance, heardAt: clock()};
    },
    changed: signal.raise,
  });

  const recorded = () => context.view().members.get(node);

  const desired = (): Member | undefined => {
    if (!instance) return undefined;
    const {id, born, service, domain, slots, state} = instance;
    return {node, domain, service, id, born, slots, state, stopping};
  };

  const write = async () => {
    const member = desired();
    const known = recorded();
    if (!member || (known && sameRecord(known.value, member))) return;
    const value = JSON.stringify(member);
    const result = await writeFromView(
      context,
      memberKey(node),
      known,
      'registration',
      () => value,
      text => text === value,
    );
    if (result?.kind !== 'stored') return;
    const {id, state} = member;
    log(SIDECAR_EVENTS.registered, {id, state, stopping});
  };

  const record = (): Promise<void> =>
    (writing ??= write().finally(() => (writing = undefined)));

  const begin = (beat: Heartbeat) => {
    const {id, born, service, slots} = beat;
    const address = formatAddress(beat.address);
    log(SIDECAR_EVENTS.instanceBegan, {id, born, service, address});
    silent = false;
    context.began(slots);
  };

  /** Gives the keys of earlier lives beside this daemon to the one that is here. */
  const inherit = async () => {
    const heir = life();
    if (!heir || !instance) return;
    for (const [service, {value: map}] of context.view().maps) {
      const isLeft = (term: RangeTerm) =>
        term.holder.node === node &&
        term.state !== 'free' &&
        !isSameIncarnation(term.holder, heir);
      if (!map.terms.some(isLeft)) continue;
      const own = service === instance.service ? heir : undefined;
      await changeMap(context, service, 'new life', m =>
        takeOver(m, node, own),
      );
    }
  };

  /** Returns an instance in a state, unless it is in a later one already. */
  const passTo = (
    known: Instance,
    state: MemberState,
    source: 'heartbeat' | 'announcement' | 'answer',
  ): Instance => {
    if (laterOf(known.state, state) === known.state) return known;
    const {id} = known;
    log(SIDECAR_EVENTS.instanceLeaving, {id, state, source});
    const openUntil = clock() + openMsOf(context.drainMs);
    return {...known, state, closesAt: Math.min(known.closesAt, openUntil)};
  };

  const update = (beat: Heartbeat, arrivedAt: number) => {
    const {id, born, service, domain, slots, address, sequence} = beat;
    const known = isSameIncarnation(life(), {node, id, born})
      ? instance
      : undefined;
    const heard = {
      id,
      born,
      service,
      domain,
      slots,
      address,
      heardAt: arrivedAt,
      sequence,
      toldState: beat.state,
    };
    const {state = 'ready', closesAt = Infinity} = known ?? {};
    instance = passTo({...heard, state, closesAt}, beat.state, 'heartbeat');
    return beat.state !== 'ready' && known?.toldState !== beat.state;
  };

  const isStale = (beat: Heartbeat): boolean => {
    const own = {node, id: beat.id, born: beat.born};
    const known = recorded()?.value;
    if (instance && beat.born < instance.born) return true;
    if (known && beat.born < known.born) return true;
    if (known?.state === 'left' && isSameIncarnation(incarnationOf(known), own))
      return true;
    const lastSequence = instance?.sequence ?? -1;
    return isSameIncarnation(life(), own) && beat.sequence <= lastSequence;
  };

  const hearBeat = async (beat: Heartbeat) => {
    const arrivedAt = clock();
    const {holdMs} = context;
    if (isStale(beat)) {
      const {id, born, sequence} = beat;
      log(SIDECAR_EVENTS.heartbeatStale, {id, born, sequence});
      return undefined;
    }
    const own = {node, id: beat.id, born: beat.born};
    const isNew = !isSameIncarnation(life(), own);
    if (isNew) begin(beat);
    if (silent) log(SIDECAR_EVENTS.instanceBack, {id: beat.id});
    silent = false;
    const announced = update(beat, arrivedAt);
    if (isNew) delivery.begin();
    const {sequence, holds, freed} = beat;
    const report: HoldReport = {incarnation: own, sequence, holds, freed};
    delivery.hear(report);
    if (isNew || announced) {
      const written = record().then(() => inherit());
      await Promise.race([written, sleep(RECORD_WAIT_MS)]);
      written.catch(error => logFailure(error));
    }
    if (!context.isKeyed(beat.service)) return {holdMs};
    return delivery.answer(beat, report, arrivedAt);
  };

  const logFailure = (error: unknown) =>
    log(SIDECAR_EVENTS.failedTask, {message: String(error)});

  const revokeOwn = async (purpose: string) => {
    const own = life();
    if (!own || !instance || !context.isKeyed(instance.service)) return;
    await changeMap(context, instance.service, purpose, m => revoke(m, own));
  };

  const expireOwn = async () => {
    const own = life();
    if (!own || !instance) return;
    const map = context.view().maps.get(instance.service)?.value;
    const isOpen = (term: RangeTerm) =>
      term.state === 'revoked' && isSameIncarnation(term.holder, own);
    if (!map?.terms.some(isOpen)) return;
    const last = Math.max(startedAt, delivery.boundedFrom());
    if (clock() < last + holdBoundMs(context.holdMs)) return;
    await changeMap(context, instance.service, 'hold ran out', m =>
      expire(m, own),
    );
  };

  const tick = async (lateMs: number) => {
    if (!instance) return;
    const isQuiet = () =>
      clock() - (instance?.heardAt ?? -Infinity) >
      context.heartbeatMs * MISSED_HEARTBEATS;
    // What has arrived while the loop stood still is read after this call.
    const mayBeSilent = !silent && lateMs < LATE_MS;
    if (mayBeSilent && isQuiet()) await delivery.ask();
    if (mayBeSilent && isQuiet() && instance.state !== 'left') {
      silent = true;
      const {id, heardAt} = instance;
      const quietMs = clock() - heardAt;
      log(SIDECAR_EVENTS.instanceSilent, {id, quietMs});
      await revokeOwn('silent');
    }
    await record();
    await inherit();
    if (silent || instance.state !== 'ready') await expireOwn();
    delivery.look();
  };

  const leave = async (id: string) => {
    if (!instance || instance.id !== id) return false;
    if (instance.state === 'left') return true;
    instance = passTo(instance, 'left', 'announcement');
    const written = record().then(() => revokeOwn('left'));
    written.catch(error => logFailure(error));
    await Promise.race([written, sleep(RECORD_WAIT_MS)]);
    return true;
  };

  const leavingStated = () => {
    if (instance?.state !== 'ready') return;
    instance = passTo(instance, 'draining', 'answer');
    record().catch(error => logFailure(error));
  };

  const resume = () => {
    const known = recorded()?.value;
    if (
      !known ||
      (instance && !isSameIncarnation(life(), incarnationOf(known)))
    )
      return;
    if (instance) {
      delivery.resume();
      return;
    }
    const {id, born, service, domain, slots, state} = known;
    const closesAt = state === 'ready' ? Infinity : -Infinity;
    const address = parseAddress(context.instance);
    const heardAt = clock();
    instance = {
      id,
      born,
      service,
      domain,
      slots,
      state,
      address,
      closesAt,
      heardAt,
      sequence: -1,
    };
    context.began(slots);
    delivery.resume();
    resumedUntil = heardAt + context.heartbeatMs * RESUMED_HEARTBEATS;
    log(SIDECAR_EVENTS.instanceResumed, {id, born, service, state});
  };

  const termAt = (key: number) => {
    const map = instance && context.view().maps.get(instance.service)?.value;
    return map && findTerm(map, key);
  };

  const holdsByMap = (key: number) => {
    const term = termAt(key);
    return term?.state === 'held' && isSameIncarnation(term.holder, life());
  };

  return {
    resume,
    hear: hearBeat,
    leave,
    leavingStated,
    life,
    isSilent: () => silent,
    holdLeftMs: delivery.holdLeftMs,
    local: () => {
      if (!instance) return undefined;
      const {id, born, service, address, slots, closesAt} = instance;
      const closed = clock() >= closesAt;
      return {id, born, service, address, slots, closed};
    },
    holds: key =>
      delivery.holds(key) ?? (clock() <= resumedUntil && holdsByMap(key)),
    denied: delivery.denied,
    awaits: key => {
      const own = life();
      const isHeard = !silent && instance?.state === 'ready';
      return own !== undefined && isGrantable(termAt(key), own, isHeard);
    },
    changed: signal.next,
    mapChanged: delivery.look,
    tick,
    stop: () => {
      stopping = true;
      record().catch(error => logFailure(error));
    },
  };
}

function sameRecord(a: Member, b: Member): boolean {
  return (
    a.id === b.id &&
    a.born === b.born &&
    a.service === b.service &&
    a.domain === b.domain &&
    a.slots === b.slots &&
    a.state === b.state &&
    a.stopping === b.stopping
  );
}
