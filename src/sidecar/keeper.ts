import {setTimeout as sleep} from 'node:timers/promises';
import {
  lifeOf,
  memberKey,
  type Member,
  type MemberState,
} from '../fleet/index.js';
import {
  NO_GRANTS,
  expire,
  findReleases,
  grant,
  hear,
  heldBy,
  holdsKey,
  mayReceive,
  newlyGranted,
  release,
  restore,
  revoke,
  sameLife,
  settle,
  succeed,
  termOf,
  type Grants,
  type HeldRange,
  type HoldReport,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from '../ranges/index.js';
import {parseAddress, type Address} from '../model/index.js';
import {LATE_MS, type LocalInstance} from '../relay/index.js';
import {SIDECAR_EVENTS} from './events.js';
import type {Heartbeat, HeartbeatAnswer} from './heartbeat.js';
import {changeMap, confirmMap, type MapAccess} from './maps.js';
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
  /** Told of the slots of an instance that is heard or taken up. */
  readonly began: (slots: number) => void;
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
  readonly awaits: (key: number) => boolean;
  readonly changed: () => Promise<void>;
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
}

/** Heartbeats that may be missed before an instance counts as silent. */
const MISSED_HEARTBEATS = 2.7;

/** Heartbeats for which the record of an earlier process is relied on. */
const RESUMED_HEARTBEATS = 2;

/** Share of a hold after which a heartbeat renews it. */
const RENEWAL_SHARE = 0.3;

/** Rate by which an instance's clock may run slow, with a reserve. */
const CLOCK_FACTOR = 1.03;

/** Time beyond the end of a hold that covers late timers. */
const HOLD_MARGIN_MS = 100;

/**
 * Time in which an instance has read the answer that grants it keys, in
 * milliseconds: the way on the machine and a turn of a busy process. A request
 * that is sent together with the answer may overtake it.
 */
const GRANT_READ_MS = 20;

/** Share of the drain time in which an instance that leaves takes requests. */
const OPEN_SHARE = 0.4;

/** Longest time that an announcement waits for its record, in milliseconds. */
const RECORD_WAIT_MS = 500;

/**
 * Returns the time after which a hold that was confirmed earlier has certainly
 * run out, by the slowest clock.
 *
 * @example
 * holdBoundMs(5000); // 5250
 */
export function holdBoundMs(holdMs: number): number {
  return holdMs * CLOCK_FACTOR + HOLD_MARGIN_MS;
}

/**
 * Creates the keeper of the instance beside a daemon. It grants keys only after
 * a read of the map that began once the heartbeat had arrived, so that a hold
 * ends a bounded time after the write that revoked it.
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
  let grants: Grants = NO_GRANTS;
  let silent = false;
  let stopping = false;
  let resumedUntil = -Infinity;
  /** Ranges that the instance may not have read of, and until when. */
  let unread: readonly HeldRange[] = [];
  let unreadUntil = -Infinity;
  let writing: Promise<void> | undefined;

  const life = (): Incarnation | undefined =>
    instance && {node, id: instance.id, born: instance.born};

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
    const {id, born, service, slots, address} = beat;
    log(SIDECAR_EVENTS.instanceBegan, {id, born, service, address});
    grants = NO_GRANTS;
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
        !sameLife(term.holder, heir);
      if (!map.terms.some(isLeft)) continue;
      const own = service === instance.service ? heir : undefined;
      await changeMap(context, service, 'new life', m => succeed(m, node, own));
    }
  };

  const renew = async (
    report: HoldReport,
    service: string,
    arrivedAt: number,
  ): Promise<readonly RangeTerm[] | undefined> => {
    let map = await confirmMap(context, service);
    if (!map || !sameLife(life(), report.life)) return undefined;
    const isRevoked = (term: RangeTerm) =>
      term.state === 'revoked' && sameLife(term.holder, report.life);
    if (map.terms.some(isRevoked) && instance?.state === 'ready') {
      map = await changeMap(context, service, 'restore', m =>
        restore(m, report.life),
      );
      if (!map) return undefined;
    }
    const rows = heldBy(map, report.life);
    if (!sameRows(rows, grants.granted)) {
      const keys = rows.reduce((sum, {from, to}) => sum + to - from + 1, 0);
      log(SIDECAR_EVENTS.granted, {
        service,
        upstream: report.life.id,
        ranges: rows.length,
        keys,
        fence: Math.max(0, ...rows.map(row => row.fence)),
      });
    }
    unread = newlyGranted(grants.granted, rows);
    unreadUntil = clock() + GRANT_READ_MS;
    grants = settle(grant(grants, report.sequence, rows, arrivedAt), map);
    signal.raise();
    if (unread.length > 0) setTimeout(signal.raise, GRANT_READ_MS + 1);
    return rows;
  };

  const answerKeys = async (
    beat: Heartbeat,
    report: HoldReport,
    arrivedAt: number,
  ): Promise<HeartbeatAnswer> => {
    const {holdMs} = context;
    const map = context.view().maps.get(beat.service)?.value;
    if (!map) return {holdMs};
    const released = findReleases(map, grants, report);
    let current: RangeMap | undefined = map;
    if (released.length > 0) {
      current = await changeMap(context, beat.service, 'release', m =>
        release(m, report.life, released),
      );
      if (current) grants = settle(grants, current);
    }
    const due = current && heldBy(current, report.life);
    const isFresh =
      grants.grantedAt >= 0 &&
      clock() - grants.since < holdMs * RENEWAL_SHARE &&
      due !== undefined &&
      sameRows(due, grants.granted);
    if (isFresh) return {holdMs};
    const rows = await renew(report, beat.service, arrivedAt);
    return rows ? {grants: rows, holdMs} : {holdMs};
  };

  const update = (beat: Heartbeat, arrivedAt: number) => {
    const {id, born, service, domain, slots} = beat;
    const known = sameLife(life(), {node, id, born}) ? instance : undefined;
    const announces = beat.state === 'draining' && known?.state !== 'draining';
    const openMs = context.drainMs * OPEN_SHARE;
    instance = {
      id,
      born,
      service,
      domain,
      slots,
      address: parseAddress(beat.address),
      state: known?.state === 'left' ? 'left' : beat.state,
      closesAt: announces ? arrivedAt + openMs : (known?.closesAt ?? Infinity),
      heardAt: arrivedAt,
    };
    if (announces) log(SIDECAR_EVENTS.instanceLeaving, {id, state: beat.state});
    return announces;
  };

  const isStale = (beat: Heartbeat): boolean => {
    const own = {node, id: beat.id, born: beat.born};
    const known = recorded()?.value;
    if (instance && beat.born < instance.born) return true;
    if (known && beat.born < known.born) return true;
    if (known?.state === 'left' && sameLife(lifeOf(known), own)) return true;
    return sameLife(life(), own) && beat.sequence <= grants.sequence;
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
    const isNew = !sameLife(life(), own);
    if (isNew) begin(beat);
    if (silent) log(SIDECAR_EVENTS.instanceBack, {id: beat.id});
    silent = false;
    const announced = update(beat, arrivedAt);
    const {sequence, holds, freed} = beat;
    const report: HoldReport = {life: own, sequence, holds, freed};
    grants = hear(grants, report);
    if (isNew || announced) {
      const written = record().then(() => inherit());
      await Promise.race([written, sleep(RECORD_WAIT_MS)]);
      written.catch(error => logFailure(error));
    }
    if (!context.isKeyed(beat.service)) return {holdMs};
    return answerKeys(beat, report, arrivedAt);
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
      term.state === 'revoked' && sameLife(term.holder, own);
    if (!map?.terms.some(isOpen)) return;
    const last = Math.max(startedAt, grants.since);
    if (clock() < last + holdBoundMs(context.holdMs)) return;
    await changeMap(context, instance.service, 'hold ran out', m =>
      expire(m, own),
    );
  };

  const tick = async (lateMs: number) => {
    if (!instance) return;
    const quietMs = clock() - instance.heardAt;
    // What has arrived while the loop stood still is read after this call.
    const isQuiet =
      lateMs < LATE_MS && quietMs > context.heartbeatMs * MISSED_HEARTBEATS;
    if (isQuiet && !silent && instance.state !== 'left') {
      silent = true;
      log(SIDECAR_EVENTS.instanceSilent, {id: instance.id, quietMs});
      await revokeOwn('silent');
    }
    await record();
    await inherit();
    if (silent || instance.state !== 'ready') await expireOwn();
  };

  const leave = async (id: string) => {
    if (!instance || instance.id !== id) return false;
    if (instance.state === 'left') return true;
    const openUntil = clock() + context.drainMs * OPEN_SHARE;
    const closesAt = Math.min(instance.closesAt, openUntil);
    instance = {...instance, state: 'left', closesAt};
    log(SIDECAR_EVENTS.instanceLeaving, {id, state: 'left'});
    const written = record().then(() => revokeOwn('left'));
    written.catch(error => logFailure(error));
    await Promise.race([written, sleep(RECORD_WAIT_MS)]);
    return true;
  };

  const resume = () => {
    const known = recorded()?.value;
    if (instance || !known) return;
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
    };
    context.began(slots);
    resumedUntil = heardAt + context.heartbeatMs * RESUMED_HEARTBEATS;
    log(SIDECAR_EVENTS.instanceResumed, {id, born, service, state});
  };

  const termAt = (key: number) => {
    const map = instance && context.view().maps.get(instance.service)?.value;
    return map && termOf(map, key);
  };

  const holdsByMap = (key: number) => {
    const term = termAt(key);
    return term?.state === 'held' && sameLife(term.holder, life());
  };

  return {
    resume,
    hear: hearBeat,
    leave,
    life,
    isSilent: () => silent,
    holdLeftMs: () => {
      if (grants.grantedAt < 0) return undefined;
      return grants.since + context.holdMs - clock();
    },
    local: () => {
      if (!instance) return undefined;
      const {id, service, address, slots, closesAt} = instance;
      return {id, service, address, slots, closed: clock() >= closesAt};
    },
    holds: key => {
      const isUnread = unread.some(({from, to}) => from <= key && key <= to);
      if (isUnread && clock() < unreadUntil) return false;
      if (grants.grantedAt >= 0 || clock() > resumedUntil) {
        return holdsKey(grants, key, clock(), context.holdMs);
      }
      return holdsByMap(key);
    },
    awaits: key => {
      const own = life();
      const isHeard = !silent && instance?.state === 'ready';
      return own !== undefined && mayReceive(termAt(key), own, isHeard);
    },
    changed: signal.next,
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

type Row = Pick<RangeTerm, 'from' | 'to' | 'fence'>;

function sameRows(a: readonly Row[], b: readonly Row[]): boolean {
  return (
    a.length === b.length &&
    a.every(({from, to, fence}, i) => {
      const other = b[i];
      return from === other.from && to === other.to && fence === other.fence;
    })
  );
}
