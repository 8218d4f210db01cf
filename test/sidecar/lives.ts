import {syncBuiltinESMExports} from 'node:module';
import timersPromises from 'node:timers/promises';
import {
  EMPTY_VIEW,
  applyChange,
  applyListing,
  rangesKey,
  type FleetView,
  type StoredChange,
} from '../../src/fleet/index.js';
import {createRandom} from '../../src/load/index.js';
import {
  isSameIncarnation,
  overlaps,
  startMoves,
  type HeldRange,
  type Incarnation,
  type KeyRange,
  type RangeMap,
  type Release,
} from '../../src/ranges/index.js';
import type {PeerStatus} from '../../src/relay/index.js';
import {changeMap} from '../../src/sidecar/maps.js';
import {
  createHeartbeatDelivery,
  createInstanceManager,
  createPlanner,
  leaseBoundMs,
  type Heartbeat,
  type HeartbeatAnswer,
  type InstanceManager,
  type InstanceManagerContext,
  type InstanceStatus,
} from '../../src/sidecar/index.js';
import {
  AnswerLostError,
  UnavailableError,
  eraOf,
  revisionOf,
  versionOf,
  type ObjectStore,
  type StoredObject,
  type WriteResult,
} from '../../src/store/index.js';

/** Something that happens to a machine at a time of the exploration. */
export type Disturbance = {
  readonly atMs: number;
  readonly node: number;
} & (
  | {readonly kind: 'crash'; readonly downMs: number; readonly sameId: boolean}
  | {readonly kind: 'restart-daemon'; readonly downMs: number}
  | {readonly kind: 'power-loss'; readonly downMs: number}
  | {readonly kind: 'freeze'; readonly ms: number; readonly suspends: boolean}
  | {readonly kind: 'refuse-store'; readonly ms: number}
  | {readonly kind: 'silence-store'; readonly ms: number}
  | {readonly kind: 'cut'; readonly ms: number}
  | {readonly kind: 'cut-link'; readonly to: number; readonly ms: number}
  | {readonly kind: 'drain'; readonly announces: boolean}
  | {readonly kind: 'move'; readonly from: number; readonly to: number}
  /**
   * The instance ends, and another service uses its address again. The settings
   * of the daemon name that service before or after its instance starts.
   */
  | {
      readonly kind: 'reuse';
      readonly downMs: number;
      readonly settingsMs: number;
    }
  /** The store is away, and comes back from a copy of an earlier state. */
  | {
      readonly kind: 'store-restore';
      readonly ageMs: number;
      readonly awayMs: number;
    }
  /** The time of day jumps, and jumps back after a time. */
  | {readonly kind: 'clock'; readonly byMs: number; readonly backMs: number}
  /** The last heartbeats of an earlier life arrive again, or late. */
  /** The instance alone stands still, and keeps its keys until they expire. */
  | {readonly kind: 'stall'; readonly ms: number}
  | {readonly kind: 'repeat'; readonly lives: number; readonly count: number}
);

/** Circumstances of one exploration. */
export interface LivesOptions {
  readonly machines: number;
  /** Services that run on the machines by turns; 1 by default. */
  readonly services?: number;
  readonly seed: number;
  readonly lengthMs: number;
  readonly disturbances: readonly Disturbance[];
  /**
   * Whether an instance sends its next heartbeat when it is due, though the
   * last one is not answered yet.
   */
  readonly overlapping: boolean;
  /**
   * Whether a departure names the start of its life; by default it does not, and
   * only the connection on which heartbeats came before tells whose it is.
   */
  readonly namesDepartures?: boolean;
  /** Share of the calls to the store that take up to a second. */
  readonly slowShare: number;
  /** Share of the calls whose answer is lost or which are done seconds later. */
  readonly lostShare: number;
  /** Share of heartbeats and answers that are held up. */
  readonly heldUpShare: number;
  /** How instances are granted keys; by default with answers to heartbeats. */
  readonly grants?: GrantPath;
  /** Called with each event, for a timeline. */
  readonly trace?: (line: string) => void;
}

/** Returns what creates the delivery of a daemon of a play. */
export type GrantPath = (
  play: Play,
) => (daemon: Process) => InstanceManagerContext['createDelivery'];

/** What a play offers to the simulation of a grant path. */
export interface Play {
  /** Returns the true time, in milliseconds. */
  readonly now: () => number;
  readonly between: (low: number, high: number) => number;
  readonly chance: (share: number) => boolean;
  /**
   * Runs a function at a time, unless its process has ended, and later if the
   * process stands still then.
   *
   * @param isTimer Whether the process itself waits for the time.
   */
  readonly schedule: (
    at: number,
    process: Process | undefined,
    run: () => void,
    isTimer?: boolean,
  ) => unknown;
  /** Returns the time of one way between a daemon and its instance. */
  readonly heldUpMs: () => number;
  /** Returns for how long work on a range goes on once it is withdrawn. */
  readonly endOfWorkMs: () => number;
  /** Records that an instance takes a range, and checks the rules. */
  readonly checkTake: (
    instance: Instance,
    row: HeldRange,
    isCounted: boolean,
  ) => void;
  readonly trace: (text: string) => void;
}

/** A rule of the users' list that was broken. */
export interface Violation {
  /**
   * - `token`: a key was taken with a token that is not above all with which
   *   others had taken it.
   * - `shared`: two live instances held a key for more than half a second.
   * - `work`: a key was granted on which another instance was still at work.
   * - `unserved`: a running instance was not answered within a lease bound and
   *   some heartbeats.
   * - `kept`: long after all disturbances, keys are not with a running instance.
   * - `departure`: the departure of the current life was not acknowledged, or
   *   requests were sent to it later than the drain time after that.
   */
  readonly kind:
    'token' | 'shared' | 'work' | 'unserved' | 'kept' | 'departure';
  readonly atMs: number;
  readonly text: string;
}

const SERVICES = ['stock', 'orders'];
const LEASE_MS = 5000;
const HEARTBEAT_MS = 870;
const ANSWER_LIMIT_MS = 1000;
const RELEASING_HEARTBEAT_MS = 100;
const CALL_TIMEOUT_MS = 900;
const WATCH_INTERVAL_MS = 250;
const TICK_MS = 500;
const PLANNER_MS = 1000;
const DRAIN_MS = 2000;
const SHARED_TOLERANCE_MS = 500;
const HEARTBEATS_TO_SERVE = 6;
/**
 * Time within which a running instance is answered: the lease of the life before
 * it expires, and the instance has some heartbeats answered in time.
 */
const SERVED_MS = leaseBoundMs(LEASE_MS) + HEARTBEATS_TO_SERVE * HEARTBEAT_MS;
/** Time without disturbances after which all keys are with running instances. */
const QUIET_MS = 20_000;
const EPOCH_MS = 1_800_000_000_000;
/** Time after a thaw in which grants of its sender are not counted. */
const THAW_MS = 1000;
/** Factor by which the slowest instance clock prolongs a hold. */
export const SLOWEST_CLOCK = 1.02;

/** A machine with a daemon and the instance beside it. */
export interface Machine {
  readonly index: number;
  readonly node: string;
  /** Service that runs there, by the settings of its daemon. */
  service: string;
  /** Service that the settings name next. */
  dueService: string;
  /** Time of the last change of the settings. */
  configuredAt: number;
  frozenFrom: number;
  frozenUntil: number;
  thawedAt: number;
  /** Time for which its monotonic clock stood still. */
  suspendedMs: number;
  cutUntil: number;
  cutFrom: number;
  refusedUntil: number;
  silencedUntil: number;
  /** Time of day less the true time. */
  clockOffsetMs: number;
  /** Last heartbeats of its lives, by start of the life. */
  readonly sent: Map<number, Heartbeat[]>;
  /** Arrival of the last heartbeat of an ended life that was answered. */
  strayAt: number;
  startedAt: number;
  daemon?: Daemon;
  instance?: Instance;
  capacity: number;
  downSince: number;
}

/** Two machines that don't reach each other for a time. */
interface CutLink {
  readonly ends: readonly [Machine, Machine];
  readonly from: number;
  readonly until: number;
}

/** A process that may end or stand still. */
export interface Process {
  readonly machine: Machine;
  isAlive: boolean;
  stalledUntil?: number;
}

interface Daemon extends Process {
  readonly manager: InstanceManager;
  readonly view: () => FleetView;
  readonly read: ObjectStore['get'];
  readonly move: (moved: KeyRange, to: Instance) => Promise<unknown>;
}

/** A range of an instance, and until when it holds it. */
export interface Row extends HeldRange {
  until: number;
  /** Time at which work on a range that was left out ends. */
  readonly workEndsAt?: number;
}

/** A connection of an instance, which ends with the process of the daemon. */
interface Connection {
  readonly daemon?: Daemon;
  /** Number in the order of opening. */
  readonly connection: number;
}

/** A simulated instance. */
export interface Instance extends Process {
  readonly incarnation: Incarnation;
  readonly service: string;
  sequence: number;
  rows: Row[];
  freed: Release[];
  seen: HeldRange[];
  state: 'ready' | 'draining' | 'left';
  pending: number;
  dueAt: number;
  /** Time of its start or of the last answer. */
  answeredAt: number;
  /** The last answer on its connection, which it keeps if it sends in turn. */
  read?: Connection & {readonly sequence: number};
}

/** State of the store from a time on. */
interface StoreState {
  readonly at: number;
  readonly revision: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
}

/** A range that a life was granted. */
interface Taken extends HeldRange {
  readonly life: Incarnation;
  readonly service: string;
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly process?: Process;
  readonly isTimer: boolean;
  readonly run: () => void;
}

/**
 * Takes one range out of others.
 *
 * @example
 * without([{from: 0, to: 99}], {from: 20, to: 29}).length; // 2
 */
export function without<T extends KeyRange>(
  ranges: readonly T[],
  hole: KeyRange,
): T[] {
  return ranges.flatMap(range => {
    if (!overlaps(range, hole)) return [range];
    const parts: T[] = [];
    if (range.from < hole.from) parts.push({...range, to: hole.from - 1});
    if (range.to > hole.to) parts.push({...range, from: hole.to + 1});
    return parts;
  });
}

function common(a: KeyRange, b: KeyRange): KeyRange {
  return {from: Math.max(a.from, b.from), to: Math.min(a.to, b.to)};
}

const nameOf = ({id}: Incarnation) => id;

/**
 * Plays daemons, whose instance managers, deliveries and planners are those of
 * the product, against a simulated store and simulated instances, in virtual
 * time. Replaces the timers of Node.js while it runs.
 *
 * @returns the rules that were broken.
 *
 * @example
 * const broken = await playLives({...CALM, seed: 7});
 */
export async function playLives(
  options: LivesOptions,
): Promise<readonly Violation[]> {
  const random = createRandom(options.seed);
  const between = (low: number, high: number) => low + random() * (high - low);
  const chance = (share: number) => random() < share;
  let now = 0;
  let order = 0;
  let current: Process | undefined;
  let events: Event[] = [];
  const violations: Violation[] = [];
  const trace = (text: string) =>
    options.trace?.(`${(now / 1000).toFixed(3)} ${text}`);

  const schedule = (
    at: number,
    process: Process | undefined,
    run: () => void,
    isTimer = false,
  ) => {
    const event = {at, order: order++, process, run, isTimer};
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = events[middle];
      // Ends with the next event, so that taking it is cheap.
      if (other.at > at || (other.at === at && other.order < event.order))
        low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, event);
    return event;
  };

  const realSetTimeout = globalThis.setTimeout;
  const realClearTimeout = globalThis.clearTimeout;
  const realSleep = timersPromises.setTimeout;
  const virtualSetTimeout = (run: () => void, ms = 0) =>
    schedule(now + ms, current, run, true);
  const virtualClearTimeout = (event: unknown) => {
    events = events.filter(other => other !== event);
  };
  const sleep = (ms: number) =>
    new Promise<void>(resolve => virtualSetTimeout(resolve, ms));

  // The store.
  let stored: StoreState = {at: 0, revision: 10, objects: new Map()};
  const copies: StoreState[] = [stored];
  let history: readonly StoredObject[] = [];
  let era = 1;
  let awayUntil = -Infinity;

  /** Objects have the store's own revisions in it, which may repeat. */
  const applyPut = (key: string, value: string, expected: number) => {
    const known = stored.objects.get(key);
    if (revisionOf(known?.version ?? 0) !== expected)
      return {kind: 'conflict', current: known} satisfies WriteResult;
    if (known?.value === value)
      return {kind: 'stored', version: known.version} satisfies WriteResult;
    const revision = stored.revision + 1;
    const version = versionOf(era, revision);
    const object = {key, value, version};
    const objects = new Map(stored.objects).set(key, object);
    stored = {at: now, revision, objects};
    copies.push(stored);
    history = [...history, object];
    if (services.some(service => key === rangesKey(service))) traceMap(object);
    return {kind: 'stored', version} satisfies WriteResult;
  };

  /** Replaces the state of the store by the one that it had at a time. */
  const restoreCopy = (at: number) => {
    const copy = copies.findLast(state => state.at <= at) ?? copies[0];
    era += 1;
    const objects = [...copy.objects.values()].map(
      ({key, value, version}) =>
        [
          key,
          {key, value, version: versionOf(era, revisionOf(version))},
        ] as const,
    );
    stored = {...copy, at: now, objects: new Map(objects)};
    copies.push(stored);
    history = [];
    trace(`store back from a copy of ${at / 1000}, era ${era}`);
  };

  const traceMap = ({value, version}: StoredObject) => {
    if (!options.trace) return;
    const {terms} = JSON.parse(value) as RangeMap;
    const text = terms.map(
      ({from, to, fence, holder, state, next}) =>
        `${from}-${to}:${fence} ${nameOf(holder)} ${state}${next ? `>${nameOf(next)}` : ''}`,
    );
    trace(`map ${version}: ${text.join(', ')}`);
  };

  /** Returns the time of one way to the store or back. */
  const wayMs = () =>
    chance(options.slowShare) ? between(50, 800) : between(2, 8);

  /** Sends a call; a call without an answer times out. */
  const callStore = <T>(
    process: Process,
    isWrite: boolean,
    apply: () => T,
  ): Promise<T> =>
    new Promise((resolve, reject) => {
      const {machine} = process;
      if (!process.isAlive) return;
      let isAnswered = false;
      const fail = () => {
        if (isAnswered) return;
        const message = 'no answer';
        reject(
          isWrite
            ? new AnswerLostError(message)
            : new UnavailableError(message),
        );
      };
      if (now < machine.refusedUntil || now < awayUntil) {
        const refuse = () => reject(new UnavailableError('refused'));
        schedule(now + wayMs(), process, refuse);
        return;
      }
      schedule(now + CALL_TIMEOUT_MS, process, fail, true);
      const isLost = chance(options.lostShare);
      const isSilent = now < machine.silencedUntil;
      const isDoneLate = isWrite && (isLost || isSilent) && chance(0.5);
      if (isSilent && !isDoneLate) return;
      const arrival = now + (isDoneLate ? between(5, 3000) : wayMs());
      schedule(arrival, undefined, () => {
        const result = apply();
        if (isLost || isSilent) return;
        schedule(now + wayMs(), process, () => {
          isAnswered = true;
          resolve(result);
        });
      });
    });

  /** The client of a process, which knows the era of the store by its answers. */
  const clientOf = (process: Process) => {
    let known = 0;
    const call = async <T>(isWrite: boolean, apply: () => T): Promise<T> => {
      const answer = await callStore(process, isWrite, () => ({
        era,
        result: apply(),
      }));
      if (answer.era < known) {
        throw isWrite
          ? new AnswerLostError('earlier era')
          : new UnavailableError('earlier era');
      }
      known = answer.era;
      return answer.result;
    };
    const get = (key: string) => call(false, () => stored.objects.get(key));
    const store: ObjectStore = {
      era: () => known,
      get,
      list: prefix =>
        call(false, () => ({
          revision: versionOf(era, stored.revision),
          objects: [...stored.objects.values()].filter(o =>
            o.key.startsWith(prefix),
          ),
        })),
      put: async (key, value, expected) => {
        if (expected !== 0 && eraOf(expected) !== known)
          return {kind: 'conflict', current: await get(key)};
        const revision = revisionOf(expected);
        return call(true, () => applyPut(key, value, revision));
      },
      delete: () => Promise.reject(new UnavailableError('not simulated')),
      watch: async function* () {},
    };
    return {store, call};
  };

  // The machines.
  const services = SERVICES.slice(0, options.services ?? 1);
  const machines: Machine[] = Array.from(
    {length: options.machines},
    (_, index) => ({
      index,
      node: `10.1.0.${index}:7620`,
      service: services[index % services.length],
      dueService: services[index % services.length],
      configuredAt: -Infinity,
      frozenFrom: -Infinity,
      frozenUntil: -Infinity,
      thawedAt: -Infinity,
      suspendedMs: 0,
      cutUntil: -Infinity,
      cutFrom: -Infinity,
      refusedUntil: -Infinity,
      silencedUntil: -Infinity,
      clockOffsetMs: 0,
      sent: new Map(),
      strayAt: -Infinity,
      startedAt: -Infinity,
      capacity: between(40, 150),
      downSince: -Infinity,
    }),
  );
  const machineOf = (node: string) => machines.find(m => m.node === node);

  const outSince = (machine: Machine): number | undefined => {
    if (now < machine.frozenUntil) return machine.frozenFrom;
    if (now < machine.cutUntil) return machine.cutFrom;
    return machine.daemon?.isAlive ? undefined : machine.downSince;
  };

  let cutLinks: readonly CutLink[] = [];

  /** Returns since when two machines have not reached each other. */
  const linkCutSince = (a: Machine, b: Machine): number | undefined =>
    cutLinks.find(
      ({ends, until}) =>
        a !== b && ends.includes(a) && ends.includes(b) && now < until,
    )?.from;

  const peerStateFor = (own: Machine) => (node: string) => {
    const peer = machineOf(node);
    const sinces = [
      ...[peer, own].map(m => m && outSince(m)),
      peer && linkCutSince(own, peer),
    ];
    const since =
      node === own.node ? undefined : sinces.find(s => s !== undefined);
    const failingMs = since === undefined ? 0 : now - since;
    const liveness = failingMs > 600 ? 'unreachable' : 'alive';
    return {liveness, failingMs, quietMs: failingMs} as PeerStatus;
  };

  const statusOf = ({daemon, capacity}: Machine) => {
    const life = daemon?.manager.incarnation();
    if (!life || !daemon) return undefined;
    const heat = [0, 100, 300, 500, 700, 900].map(b => [b, 10] as const);
    const {id, born} = life;
    const silent = daemon.manager.isSilent();
    const holdLeftMs = daemon.manager.leaseLeftMs();
    return {
      ...{id, born, silent, capacity, heat},
      holdLeftMs,
    } satisfies InstanceStatus;
  };

  const timeOfDay = ({clockOffsetMs}: Machine) =>
    EPOCH_MS + Math.floor(now + clockOffsetMs);

  const startDaemon = (machine: Machine) => {
    const startedAt = now;
    machine.startedAt = now;
    const suspendedBefore = machine.suspendedMs;
    const process: Process = {machine, isAlive: true};
    const clock = () =>
      now - startedAt - (machine.suspendedMs - suspendedBefore) + 100;
    let view = EMPTY_VIEW;
    const {store, call} = clientOf(process);
    const observeChange = (change: StoredChange) => {
      const step = applyChange(view, change);
      if (step.view === view) return;
      const hasNewMap = step.view.maps !== view.maps;
      view = step.view;
      if (hasNewMap) manager.reconcile();
    };
    const access = {
      store,
      view: () => view,
      observeChange,
      clock,
      node: machine.node,
      leaseMs: LEASE_MS,
      log: (
        {message}: {readonly message: string},
        fields: Readonly<Record<string, unknown>> = {},
      ) =>
        trace(`daemon ${machine.index}: ${message} ${JSON.stringify(fields)}`),
      readThroughPeer: (service: string) =>
        new Promise<StoredObject | undefined>(resolve => {
          if (!process.isAlive) return;
          const peers = machines.filter(
            m =>
              m !== machine &&
              outSince(m) === undefined &&
              linkCutSince(machine, m) === undefined,
          );
          const peer = peers[Math.floor(random() * peers.length)];
          schedule(now + 300, process, () => resolve(undefined), true);
          if (!peer?.daemon || now < machine.cutUntil) return;
          const read = peer.daemon.read(rangesKey(service));
          read.then(
            object => schedule(now + 3, process, () => resolve(object)),
            () => undefined,
          );
        }),
    };
    const manager = createInstanceManager({
      ...access,
      wallClock: () => timeOfDay(machine),
      domain: 'north',
      get service() {
        return machine.service;
      },
      instance: '10.1.0.1:8301',
      isKeyed: () => true,
      heartbeatMs: HEARTBEAT_MS,
      drainMs: DRAIN_MS,
      onStatement: () => {},
      onInstanceStart: () => {},
      createDelivery: deliveryFor(process),
    });
    const planner = createPlanner({
      ...access,
      peerState: peerStateFor(machine),
      probe: node =>
        new Promise(resolve => {
          const peer = machineOf(node);
          const isReached =
            peer === machine ||
            (peer &&
              outSince(peer) === undefined &&
              linkCutSince(machine, peer) === undefined &&
              now >= machine.cutUntil);
          schedule(now + (isReached ? between(2, 30) : 400), process, () =>
            resolve(isReached ? statusOf(peer) : undefined),
          );
        }),
      probeThrough: (via, node) =>
        new Promise(resolve => {
          const relay = machineOf(via);
          const peer = machineOf(node);
          const isReached =
            relay &&
            peer &&
            [relay, peer].every(other => outSince(other) === undefined) &&
            linkCutSince(machine, relay) === undefined &&
            linkCutSince(relay, peer) === undefined &&
            now >= machine.cutUntil;
          const status = isReached ? statusOf(peer) : undefined;
          const delayMs = status ? between(4, 60) : 700;
          schedule(now + delayMs, process, () => resolve(status));
        }),
    });
    const daemon: Daemon = Object.assign(process, {
      manager,
      read: store.get,
      view: () => view,
      move: (moved: KeyRange, {service, incarnation: to}: Instance) =>
        changeMap(access, service, 'balance', map =>
          startMoves(map, [{...moved, holder: to}]),
        ),
    });
    machine.daemon = daemon;
    trace(`daemon ${machine.index} starts`);
    let at = -1;
    let isListed = false;
    const watch = async () => {
      for (;;) {
        try {
          if (at < 0) {
            const listing = await store.list('fleet/');
            view = applyListing(view, listing).view;
            at = listing.revision;
            isListed = true;
            manager.resume();
          }
          const page = await call(false, () => ({
            changes: history.filter(object => object.version > at),
            at: versionOf(era, stored.revision),
          }));
          if (eraOf(page.at) === eraOf(at)) page.changes.forEach(observeChange);
          at = eraOf(page.at) === eraOf(at) ? page.at : -1;
        } catch (error) {
          if (!(error instanceof UnavailableError)) throw error;
        }
        await sleep(WATCH_INTERVAL_MS);
      }
    };
    const repeat = async (
      ms: number,
      run: (lateMs: number) => Promise<void>,
    ) => {
      for (;;) {
        const due = clock() + ms;
        await sleep(ms);
        await run(clock() - due);
      }
    };
    schedule(now, process, () => {
      void watch();
      void repeat(TICK_MS, manager.tick);
      void repeat(PLANNER_MS, async () => {
        const {service} = manager.local() ?? {};
        if (isListed && service) await planner.tick(service);
      });
    });
  };

  const stopDaemon = (machine: Machine) => {
    if (!machine.daemon?.isAlive) return;
    machine.daemon.isAlive = false;
    machine.downSince = now;
    trace(`daemon ${machine.index} is killed`);
  };

  // The instances.
  let lives = 0;
  let connections = 0;
  const taken: Taken[] = [];

  const liveRows = (instance: Instance) =>
    instance.rows.filter(row => row.until > now);

  const break_ = (kind: Violation['kind'], text: string) => {
    trace(`VIOLATION ${kind}: ${text}`);
    violations.push({kind, atMs: now, text});
  };

  const describe = ({from, to, fence}: HeldRange) => `${from}-${to}:${fence}`;

  const checkTake = (
    instance: Instance,
    row: HeldRange,
    isCounted: boolean,
  ) => {
    const {incarnation, service} = instance;
    const name = nameOf(incarnation);
    trace(`${name} takes ${describe(row)}`);
    for (const earlier of taken) {
      if (isSameIncarnation(earlier.life, incarnation)) continue;
      if (earlier.service !== service) continue;
      if (!overlaps(earlier, row) || earlier.fence < row.fence) continue;
      const text = `${name} takes ${describe(row)}, ${nameOf(earlier.life)} had ${describe(earlier)}`;
      if (isCounted) break_('token', text);
      else trace(`not counted: ${text}`);
    }
    taken.push({
      from: row.from,
      to: row.to,
      fence: row.fence,
      life: incarnation,
      service,
    });
    for (const {instance: other} of machines) {
      if (!other?.isAlive || other === instance) continue;
      if (other.service !== service) continue;
      for (const held of liveRows(other)) {
        if (!overlaps(held, row)) continue;
        const shared = common(held, row);
        const text = `${name} takes ${describe(row)}, ${nameOf(other.incarnation)} holds ${describe(held)} until ${(held.until / 1000).toFixed(3)}`;
        trace(`shared: ${text}`);
        if (!isCounted) continue;
        const {workEndsAt} = held;
        if (workEndsAt !== undefined && workEndsAt > now) break_('work', text);
        const holds = (a: Instance) =>
          a.isAlive &&
          liveRows(a).some(
            r => r.workEndsAt === undefined && overlaps(r, shared),
          );
        schedule(now + SHARED_TOLERANCE_MS, undefined, () => {
          if (holds(instance) && holds(other)) break_('shared', text);
        });
      }
    }
  };

  const receiveAnswer = (
    instance: Instance,
    beat: Heartbeat,
    sentAt: number,
    answer: HeartbeatAnswer,
    isCounted: boolean,
  ) => {
    if (now - sentAt >= ANSWER_LIMIT_MS) return;
    instance.answeredAt = now;
    instance.freed = instance.freed.filter(
      release => !beat.freed.includes(release),
    );
    if (!answer.grants) return;
    const before = liveRows(instance);
    const accepted = answer.grants.filter(
      row =>
        !instance.seen.some(
          known => overlaps(known, row) && known.fence > row.fence,
        ),
    );
    const until = sentAt + answer.holdMs * SLOWEST_CLOCK;
    if (until <= now) return;
    const rows: Row[] = accepted.map(({from, to, fence}) => ({
      from,
      to,
      fence,
      until,
    }));
    for (const row of rows) {
      let fresh: HeldRange[] = [row];
      for (const held of before) {
        if (held.fence === row.fence) fresh = without(fresh, held);
      }
      for (const part of fresh) checkTake(instance, part, isCounted);
      instance.seen = [...without(instance.seen, row), row];
    }
    let left = before;
    for (const row of rows) left = without(left, row);
    const working = left.map(row =>
      row.workEndsAt === undefined
        ? {...row, workEndsAt: now + endOfWorkMs()}
        : row,
    );
    instance.rows = [...rows, ...working];
    const name = nameOf(instance.incarnation);
    const text = (list: readonly HeldRange[]) => list.map(describe).join(' ');
    trace(`${name} holds ${text(rows)}; releases ${text(working)}`);
    for (const {workEndsAt} of working) {
      if (workEndsAt !== undefined)
        schedule(workEndsAt, instance, () => endWork(instance));
    }
    if (working.length > 0) sendSoon(instance, now + RELEASING_HEARTBEAT_MS);
  };

  const endOfWorkMs = () => (chance(0.2) ? between(100, 2000) : between(0, 60));

  const endWork = (instance: Instance) => {
    const isDone = ({workEndsAt = Infinity}: Row) => workEndsAt <= now;
    const done = liveRows(instance).filter(isDone);
    instance.rows = liveRows(instance).filter(row => !isDone(row));
    for (const {from, to} of done) {
      const handover = `h${lives}-${Math.floor(now)}`;
      instance.freed = [...instance.freed, {from, to, handover}];
    }
  };

  const sendSoon = (instance: Instance, at: number) => {
    if (instance.dueAt <= at) return;
    instance.dueAt = at;
    schedule(at, instance, () => {
      if (instance.dueAt === at) send(instance);
    });
  };

  /** Returns the connection for a message: the kept one if it is idle. */
  const connect = ({read, machine: {daemon}}: Instance): Connection => {
    if (read && read.daemon === daemon) return read;
    connections += 1;
    return {daemon, connection: connections};
  };

  /** Returns the number of a connection if a process has accepted it. */
  const numberAt = (process: Daemon, {daemon, connection}: Connection) =>
    daemon === process ? connection : undefined;

  const send = (instance: Instance) => {
    const {incarnation, service, machine} = instance;
    instance.dueAt = Infinity;
    if (!options.overlapping && instance.pending > 0) return;
    endWork(instance);
    instance.rows = liveRows(instance);
    instance.sequence += 1;
    instance.pending += 1;
    const sentAt = now;
    const {sequence, rows, freed, state, read} = instance;
    const used = connect(instance);
    instance.read = undefined;
    const beat: Heartbeat = {
      id: incarnation.id,
      born: incarnation.born,
      sequence,
      service,
      address: {host: '10.1.0.1', port: 8301},
      domain: 'north',
      slots: 4,
      state: state === 'draining' ? 'draining' : 'ready',
      coldMs: 0,
      holds: rows.map(({from, to, fence}) => ({from, to, fence})),
      freed,
    };
    const name = `${nameOf(incarnation)} #${sequence}`;
    remember(machine, beat);
    checkServed(instance);
    let isSettled = false;
    const settle = () => {
      if (isSettled) return;
      isSettled = true;
      instance.pending -= 1;
      const isReleasing = instance.rows.some(r => r.workEndsAt !== undefined);
      const interval = isReleasing ? RELEASING_HEARTBEAT_MS : HEARTBEAT_MS;
      if (!options.overlapping)
        sendSoon(
          instance,
          Math.max(now, isReleasing ? now + interval : sentAt + interval),
        );
    };
    schedule(now + ANSWER_LIMIT_MS, instance, settle);
    if (options.overlapping) sendSoon(instance, now + HEARTBEAT_MS);
    schedule(now + heldUpMs(), undefined, () => {
      const {daemon} = machine;
      if (!daemon?.isAlive) {
        schedule(now + 1, instance, settle);
        return;
      }
      schedule(now, daemon, () => {
        const arrivedAt = now;
        trace(
          `heartbeat ${name} (${Math.round(now - sentAt)} ms old), holds ${beat.holds.map(describe).join(' ')}, freed ${beat.freed.map(r => `${r.from}-${r.to}`).join(' ')}`,
        );
        const readSequence =
          read?.daemon === daemon ? read.sequence : undefined;
        const connection = numberAt(daemon, used);
        const received = {...beat, readSequence, connection};
        void daemon.manager.handleHeartbeat(received).then(answer => {
          if (answer && !instance.isAlive) machine.strayAt = now;
          const isCounted = machine.thawedAt + THAW_MS < arrivedAt;
          trace(
            `answer to ${name}: ${answer?.grants?.map(describe).join(' ') ?? 'nothing'}`,
          );
          schedule(now + heldUpMs(), instance, () => {
            if (!options.overlapping && now - sentAt < ANSWER_LIMIT_MS)
              instance.read = {...used, sequence, daemon};
            if (answer)
              receiveAnswer(instance, beat, sentAt, answer, isCounted);
            settle();
          });
        });
      });
    });
  };

  const remember = ({sent}: Machine, beat: Heartbeat) => {
    const beats = [...(sent.get(beat.born) ?? []), beat].slice(-8);
    sent.set(beat.born, beats);
  };

  /** Checks that an instance is answered after what may have delayed it. */
  const checkServed = (instance: Instance) => {
    const {machine, answeredAt, state, stalledUntil = 0} = instance;
    if (state === 'left' || !machine.daemon?.isAlive) return;
    const since = Math.max(
      answeredAt,
      machine.startedAt,
      machine.configuredAt,
      machine.strayAt,
      stalledUntil,
      machine.thawedAt,
      machine.refusedUntil,
      machine.silencedUntil,
      machine.cutUntil,
    );
    if (now - since <= SERVED_MS) return;
    instance.answeredAt = now;
    const text = `${nameOf(instance.incarnation)} not answered since ${since}`;
    break_('unserved', text);
  };

  /** Checks that all keys are with running instances. */
  const checkKeys = () => {
    const lastAt = Math.max(...options.disturbances.map(({atMs}) => atMs));
    if (options.lengthMs - lastAt < QUIET_MS) return;
    const running = services.filter(service =>
      machines.some(
        ({instance}) => instance?.isAlive && instance.service === service,
      ),
    );
    const objects = running.map(name => stored.objects.get(rangesKey(name)));
    const terms = objects.flatMap(object =>
      object ? (JSON.parse(object.value) as RangeMap).terms : [],
    );
    for (const {from, to, state, holder} of terms) {
      const instance = machineOf(holder.node)?.instance;
      const runs =
        instance?.isAlive && isSameIncarnation(instance.incarnation, holder);
      if (state !== 'free' && runs) continue;
      break_('kept', `${from}-${to} ${state} with ${nameOf(holder)}`);
    }
  };

  /** Lets the last heartbeats of an earlier life arrive again. */
  const repeat = (machine: Machine, back: number, count: number) => {
    const beats = [...machine.sent.values()].at(-1 - back);
    for (const [i, beat] of (beats ?? []).slice(-count).entries()) {
      schedule(now + i * HEARTBEAT_MS, undefined, () => {
        const {daemon, instance} = machine;
        if (!daemon?.isAlive) return;
        schedule(now, daemon, () => {
          trace(`heartbeat ${beat.id} #${beat.sequence} again`);
          void daemon.manager.handleHeartbeat(beat).then(answer => {
            if (answer && instance?.incarnation.born !== beat.born)
              machine.strayAt = now;
          });
        });
      });
    }
  };

  const heldUpMs = () => {
    if (!chance(options.heldUpShare)) return between(0.5, 4);
    return chance(0.2) ? between(900, 6000) : between(20, 900);
  };

  const startInstance = (
    machine: Machine,
    {id, service = machine.service}: {id?: string; service?: string} = {},
  ) => {
    lives += 1;
    const incarnation: Incarnation = {
      node: machine.node,
      id: id ?? `i-${machine.index}.${lives}`,
      born: timeOfDay(machine),
    };
    const instance: Instance = {
      machine,
      service,
      isAlive: true,
      incarnation,
      sequence: 0,
      rows: [],
      freed: [],
      seen: [],
      state: 'ready',
      pending: 0,
      dueAt: Infinity,
      answeredAt: now,
    };
    machine.instance = instance;
    machine.capacity = between(20, 200);
    trace(`${nameOf(incarnation)} of ${service} starts`);
    sendSoon(instance, now + between(0, 300));
  };

  const endInstance = (machine: Machine, downMs: number, sameId: boolean) => {
    const {instance} = machine;
    if (!instance?.isAlive) return;
    instance.isAlive = false;
    trace(`${nameOf(instance.incarnation)} ends`);
    schedule(now + downMs, undefined, () => {
      const {incarnation, service} = instance;
      startInstance(machine, {service, ...(sameId && {id: incarnation.id})});
    });
  };

  const reuse = (machine: Machine, downMs: number, settingsMs: number) => {
    const {instance} = machine;
    if (!instance?.isAlive) return;
    instance.isAlive = false;
    trace(`${nameOf(instance.incarnation)} ends, its address is used again`);
    const others = services.filter(service => service !== instance.service);
    const service = others[0] ?? instance.service;
    schedule(now + downMs, undefined, () => startInstance(machine, {service}));
    machine.dueService = service;
    schedule(now + settingsMs, undefined, () => {
      trace(`settings of machine ${machine.index}: ${machine.dueService}`);
      machine.service = machine.dueService;
      machine.configuredAt = now;
    });
  };

  /** Hands a departure to the daemon; returns whether it acknowledges it. */
  const handOverDeparture = (
    {manager}: Daemon,
    {id, born}: Incarnation,
    isNamed: boolean,
    connection: number | undefined,
  ) => {
    trace(`${id} departs`);
    return manager.handleDeparture(id, isNamed ? born : undefined, connection);
  };

  /**
   * Checks that a departure of the current life is acknowledged and that no
   * requests are sent to it later than the drain time after that, unless the
   * machine stood still meanwhile.
   */
  const checkDeparture = (
    daemon: Daemon,
    life: Incarnation,
    answer: Promise<boolean>,
  ) => {
    const {machine, manager} = daemon;
    const isCurrent = () => isSameIncarnation(manager.incarnation(), life);
    if (!isCurrent()) return;
    const arrivedAt = now;
    void answer.then(isKnown => {
      if (!isKnown) break_('departure', `${life.id} not acknowledged`);
    });
    schedule(now + DRAIN_MS, daemon, () => {
      if (machine.thawedAt > arrivedAt) return;
      if (isCurrent() && !manager.local()?.isClosed)
        break_('departure', `${life.id} open to requests`);
    });
  };

  const drain = (machine: Machine, announces: boolean) => {
    const {instance} = machine;
    if (!instance?.isAlive || instance.state !== 'ready') return;
    const depart = () => {
      const {read, incarnation, sequence} = instance;
      const used = connect(instance);
      schedule(now + heldUpMs(), undefined, () => {
        const {daemon} = machine;
        if (!daemon?.isAlive) return;
        const isNamed = options.namesDepartures || read?.daemon === daemon;
        const connection = numberAt(daemon, used);
        schedule(now, daemon, () => {
          const answer = handOverDeparture(
            daemon,
            incarnation,
            isNamed,
            connection,
          );
          // Before its first heartbeat, no daemon can know of it.
          if (sequence > 0) checkDeparture(daemon, incarnation, answer);
        });
      });
    };
    const end = () => endInstance(machine, between(500, 3000), false);
    trace(`${nameOf(instance.incarnation)} ${announces ? 'drains' : 'leaves'}`);
    if (announces) {
      instance.state = 'draining';
      sendSoon(instance, now);
      schedule(now + DRAIN_MS + 200, instance, depart);
      schedule(now + DRAIN_MS + 300, instance, end);
    } else {
      instance.state = 'left';
      depart();
      schedule(now + DRAIN_MS, instance, end);
    }
  };

  const freeze = (machine: Machine, ms: number, suspends: boolean) => {
    if (now < machine.frozenUntil) return;
    trace(`machine ${machine.index} freezes for ${ms} ms`);
    machine.frozenFrom = now;
    machine.frozenUntil = now + ms;
    machine.thawedAt = now + ms;
    if (!suspends) return;
    machine.suspendedMs += ms;
    const isShifted = ({process, isTimer}: Event) =>
      isTimer && process?.machine === machine;
    const shifted = events.filter(isShifted);
    events = events.filter(event => !isShifted(event));
    for (const {at, process, run} of shifted)
      schedule(at + ms, process, run, true);
  };

  const disturb = (step: Disturbance) => {
    const machine = machines[step.node % machines.length];
    switch (step.kind) {
      case 'crash':
        return endInstance(machine, step.downMs, step.sameId);
      case 'restart-daemon':
        stopDaemon(machine);
        schedule(now + step.downMs, undefined, () => {
          if (!machine.daemon?.isAlive) startDaemon(machine);
        });
        return;
      case 'power-loss':
        endInstance(machine, step.downMs, false);
        stopDaemon(machine);
        schedule(now + step.downMs, undefined, () => {
          if (!machine.daemon?.isAlive) startDaemon(machine);
        });
        return;
      case 'freeze':
        return freeze(machine, step.ms, step.suspends);
      case 'refuse-store':
        machine.refusedUntil = now + step.ms;
        return;
      case 'silence-store':
        machine.silencedUntil = now + step.ms;
        return;
      case 'cut':
        machine.cutFrom = now;
        machine.cutUntil = now + step.ms;
        return;
      case 'cut-link': {
        const other = machines[step.to % machines.length];
        const link = {ends: [machine, other], from: now} as const;
        cutLinks = [...cutLinks, {...link, until: now + step.ms}];
        return;
      }
      case 'drain':
        return drain(machine, step.announces);
      case 'clock':
        machine.clockOffsetMs += step.byMs;
        schedule(now + step.backMs, undefined, () => {
          machine.clockOffsetMs -= step.byMs;
        });
        return;
      case 'stall':
        if (machine.instance) {
          const {stalledUntil = 0} = machine.instance;
          machine.instance.stalledUntil = Math.max(stalledUntil, now + step.ms);
        }
        return;
      case 'repeat':
        return repeat(machine, step.lives, step.count);
      case 'store-restore':
        awayUntil = now + step.awayMs;
        schedule(awayUntil, undefined, () =>
          restoreCopy(now - step.awayMs - step.ageMs),
        );
        return;
      case 'move': {
        const {daemon} = machine;
        const life = machines[step.to % machines.length].instance;
        if (!daemon?.isAlive || !life) return;
        const moved = {from: step.from, to: step.from + 2999};
        schedule(now, daemon, () => void daemon.move(moved, life));
        return;
      }
      case 'reuse':
        return reuse(machine, step.downMs, step.settingsMs);
    }
  };

  const deliveryFor =
    options.grants?.({
      now: () => now,
      between,
      chance,
      schedule,
      heldUpMs,
      endOfWorkMs,
      checkTake,
      trace,
    }) ?? (() => createHeartbeatDelivery);

  for (const machine of machines) {
    schedule(between(0, 400), undefined, () => {
      startDaemon(machine);
      startInstance(machine);
    });
  }
  for (const step of options.disturbances) {
    schedule(step.atMs, undefined, () => {
      trace(`step ${JSON.stringify(step)}`);
      disturb(step);
    });
  }

  const turn = () => new Promise<void>(resolve => setImmediate(resolve));
  globalThis.setTimeout = virtualSetTimeout as never;
  globalThis.clearTimeout = virtualClearTimeout as never;
  timersPromises.setTimeout = sleep as never;
  syncBuiltinESMExports();
  try {
    for (;;) {
      const event = events.pop();
      if (!event || event.at > options.lengthMs) break;
      const {process, run, isTimer} = event;
      if (process && !process.isAlive) continue;
      const {stalledUntil = 0, machine} = process ?? {};
      const stopsUntil = Math.max(stalledUntil, machine?.frozenUntil ?? 0);
      if (stopsUntil > event.at) {
        schedule(stopsUntil, process, run, isTimer);
        continue;
      }
      now = event.at;
      current = process;
      run();
      if (process) await turn();
    }
    checkKeys();
  } finally {
    globalThis.setTimeout = realSetTimeout;
    globalThis.clearTimeout = realClearTimeout;
    timersPromises.setTimeout = realSleep;
    syncBuiltinESMExports();
  }
  return violations;
}
