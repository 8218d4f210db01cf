import {createRandom} from '../../src/load/index.js';
import {
  applyDirect,
  chooseCoordinators,
  emptyMirror,
} from '../../src/membership/index.js';
import type {Mirror} from '../../src/membership/index.js';
import {leaseOf} from '../../src/model/index.js';
import type {Chunk, Member, Service} from '../../src/model/index.js';
import {
  chunkSubject,
  decide,
  holdsTerm,
  hasLeaseEnded,
  newState,
  releasedEpoch,
} from '../../src/ownership/index.js';
import type {
  Effect,
  Input,
  Message,
  SliceEpoch,
  State,
  Step,
  StoreFailure,
} from '../../src/ownership/index.js';
import {planChunk} from '../../src/placement/index.js';

/** A decision function; tests replace it by broken ones. */
export type Decide = (state: State, input: Input, now: number) => Step;

/** A planner of chunks; tests replace it by broken ones. */
export type Plan = typeof planChunk;

/** One daemon of the fixture together with its upstream. */
export interface Node {
  readonly index: number;
  /** Clock rate of the daemon's machine against true time. */
  readonly rate: number;
  readonly upstreamRate: number;
  state: State;
  mirror: Mirror;
  isAlive: boolean;
  pausedUntil: number;
  startedAt: number;
  process: string;
  /** Tells the platform's changes only up to this position of its log. */
  logPosition: number;
  isPlatformCut: boolean;
  draining: boolean;
  inFlight: Set<string>;
  deferred: (() => void)[];
  upstream: {
    process: string;
    sequence: number;
    until: number;
    slices: readonly SliceEpoch[];
    retiredProcesses: Set<string>;
    frozenUntil: number;
  };
}

interface StoredValue {
  readonly value: string;
  readonly version: number;
}

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Faults of the network and of the platform. */
export interface Faults {
  loss: number;
  duplication: number;
  delayMs: number;
  platformDown: boolean;
  loseAnswers: number;
  platformDelayMs: number;
}

/** A fleet in virtual time. */
export interface Fleet {
  readonly nodes: readonly Node[];
  readonly faults: Faults;
  readonly service: Service;
  readonly now: () => number;
  readonly run: (ms: number) => void;
  readonly pause: (index: number, ms: number) => void;
  readonly restart: (index: number) => void;
  readonly kill: (index: number) => void;
  readonly freezeUpstream: (index: number, ms: number) => void;
  readonly partition: (group: readonly number[]) => void;
  readonly endPartition: () => void;
  readonly drain: (index: number) => void;
  /** The upstream of an instance says that it ends, or another has come. */
  readonly setLeaving: (index: number, isLeaving?: boolean) => void;
  /** Slices that nobody serves now. */
  readonly unserved: () => readonly number[];
}

/** Fixture options. */
export interface FleetOptions {
  readonly size: number;
  readonly seed: number;
  readonly fencing?: 'enforced' | 'ignored';
  readonly decide?: Decide;
  readonly plan?: Plan;
  readonly slices?: number;
}

const TICK_MS = 25;
const DOMAINS = 3;
const LEASE = {durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3};

/** Creates a fleet whose members start one after the other. */
export function newFleet(options: FleetOptions): Fleet {
  const {size, seed, fencing = 'enforced', slices = 4} = options;
  const step = options.decide ?? decide;
  const plan = options.plan ?? planChunk;
  const random = createRandom(seed);
  const service: Service = {
    name: 'rota',
    pathPrefix: '/rota/',
    key: {path: '/rota/{key}'},
    slices,
    chunks: 1,
    priority: 1,
    deadlineMs: 1000,
    fencing,
    successors: 2,
  };
  const faults: Faults = {
    loss: 0,
    duplication: 0,
    delayMs: 0,
    platformDown: false,
    loseAnswers: 0,
    platformDelayMs: 0,
  };
  /** Timers by descending time. */
  const timers: Timer[] = [];
  const objects = new Map<string, StoredValue>();
  const log: {key: string; value: string; version: number}[] = [];
  const served = new Map<number, {epoch: number; instance: string}>();
  let time = 0;
  let partitionGroup: ReadonlySet<number> = new Set();

  const schedule = (delay: number, run: () => void) => {
    const at = time + delay;
    let low = 0;
    let high = timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (timers[middle].at > at) low = middle + 1;
      else high = middle;
    }
    timers.splice(low, 0, {at, run});
  };
  const clockOf = (node: Node) => time * node.rate + node.index * 1000;
  const upstreamClock = (node: Node) =>
    time * node.upstreamRate + node.index * 77_777;

  const nodes: Node[] = Array.from({length: size}, (_, index) =>
    newNode(index, random),
  );

  function start(node: Node): void {
    node.process = `p${node.index}-${Math.floor(random() * 1e9)}`;
    const self = identityOf(node.index, node.process);
    node.state = newState(self, LEASE, clockOf(node));
    node.mirror = emptyMirror();
    node.logPosition = 0;
    node.isAlive = true;
    node.draining = false;
    node.inFlight = new Set();
    node.deferred = [];
    node.startedAt = time;
    const {process} = node;
    dispatch(node, {kind: 'platform', reachable: true});
    dispatch(node, {
      kind: 'upstream',
      upstream: {
        service: service.name,
        slots: 4,
        connections: 10,
        fencing,
        isHealthy: true,
      },
    });
    const tick = () => {
      if (!node.isAlive || node.process !== process) return;
      whenRunning(node, () => {
        applyPlatformChanges(node);
        dispatch(node, {kind: 'tick', busySlices: new Set(node.inFlight)});
        planAsCoordinator(node);
      });
      schedule(TICK_MS / node.rate, tick);
    };
    schedule(random() * TICK_MS, tick);
  }

  /** Runs at once, or after the pause of the process. */
  function whenRunning(node: Node, run: () => void): void {
    const {process} = node;
    if (time >= node.pausedUntil) return run();
    node.deferred.push(() => {
      if (node.process === process) run();
    });
  }

  function dispatch(node: Node, input: Input): void {
    if (!node.isAlive) return;
    const next = step(node.state, input, clockOf(node));
    node.state = next.state;
    for (const effect of next.effects) runEffect(node, effect);
    checkInvariants();
  }

  function runEffect(node: Node, effect: Effect): void {
    switch (effect.kind) {
      case 'send': {
        const to = nodes.find(n => n.index === effect.to.port);
        if (to) deliver(node, to, effect.message);
        return;
      }
      case 'broadcast':
        for (const to of nodes) {
          if (to !== node) deliver(node, to, effect.message);
        }
        return;
      case 'store':
        return put(node, `members/${effect.member.instance}`, effect.member, {
          stored: () => dispatch(node, {kind: 'stored', member: effect.member}),
          failed: reason => dispatch(node, {kind: 'unstored', result: reason}),
        });
      case 'markEnded': {
        const key = `members/${effect.lease.instance}`;
        const known = node.mirror.entries.get(key);
        if (!known) return;
        const member = JSON.parse(known.value) as Member;
        if (member.generation !== effect.lease.generation) return;
        if (member.state === 'ended') return;
        return put(node, key, {...member, state: 'ended'}, IGNORE_RESULT);
      }
      case 'read':
        return platformCall(node, () => {
          const stored = objects.get(`members/${effect.lease.instance}`);
          return () => {
            if (!stored) return;
            const member = JSON.parse(stored.value) as Member;
            dispatch(node, {kind: 'read', lease: effect.lease, member});
          };
        });
      case 'grant':
        return sendGrant(node, effect.request);
    }
  }

  function deliver(from: Node, to: Node, message: Message): void {
    const {instance} = from.state.self;
    const envelope = {instance, process: from.process, message};
    const copies = random() < faults.duplication ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      if (random() < faults.loss) continue;
      const delay = 1 + random() * 3 + random() * faults.delayMs;
      const {process} = to;
      const wasPartitioned = isPartitioned(from, to);
      schedule(delay, () => {
        if (wasPartitioned || isPartitioned(from, to)) return;
        if (!to.isAlive || to.process !== process) return;
        whenRunning(to, () => dispatch(to, {kind: 'message', envelope}));
      });
    }
  }

  function isPartitioned(a: Node, b: Node): boolean {
    return partitionGroup.has(a.index) !== partitionGroup.has(b.index);
  }

  function platformCall(
    node: Node,
    effect: () => () => void,
    lost?: () => void,
    refused?: () => void,
  ): void {
    const {process} = node;
    const answer = (run?: () => void) => {
      schedule(1 + random() * 4, () => {
        if (!node.isAlive || node.process !== process) return;
        whenRunning(node, () => run?.());
      });
    };
    schedule(1 + random() * (4 + faults.platformDelayMs), () => {
      if (faults.platformDown || node.isPlatformCut) return answer(refused);
      const result = effect();
      if (faults.loseAnswers > 0 && lost) {
        faults.loseAnswers--;
        return answer(lost);
      }
      answer(result);
    });
  }

  function put(
    node: Node,
    key: string,
    object: Member | Chunk,
    result: {
      readonly stored: (version: number) => void;
      readonly failed: (result: StoreFailure) => void;
    },
  ): void {
    const value = JSON.stringify(object);
    const expected = node.mirror.entries.get(key)?.version ?? 0;
    const applyStored = (stored: StoredValue | undefined) => {
      if (stored) applyObject(node, key, stored.value, stored.version);
    };
    platformCall(
      node,
      () => {
        const current = objects.get(key);
        if ((current?.version ?? 0) !== expected) {
          return () => {
            if (current?.value === value) result.stored(current.version);
            applyStored(current);
            if (current?.value !== value) result.failed('conflict');
          };
        }
        const version = log.length + 1;
        if ('slices' in object) checkEpochs(current, object);
        objects.set(key, {value, version});
        log.push({key, value, version});
        return () => {
          result.stored(version);
          applyStored({value, version});
        };
      },
      () => readBack(node, key, value, expected, result),
      () => result.failed('unavailable'),
    );
  }

  function readBack(
    node: Node,
    key: string,
    value: string,
    expected: number,
    result: {
      readonly stored: (version: number) => void;
      readonly failed: (result: StoreFailure) => void;
    },
  ): void {
    platformCall(
      node,
      () => {
        const current = objects.get(key);
        return () => {
          const isOwn = current?.value === value;
          if (isOwn) result.stored(current.version);
          if (current) applyObject(node, key, current.value, current.version);
          const moved = (current?.version ?? 0) !== expected;
          if (!isOwn) result.failed(moved ? 'conflict' : 'unknown');
        };
      },
      undefined,
      () => result.failed('unknown'),
    );
  }

  /** Takes the platform's changes that the node has not seen yet. */
  function applyPlatformChanges(node: Node): void {
    if (faults.platformDown || node.isPlatformCut) return;
    while (node.logPosition < log.length) {
      const {key, value, version} = log[node.logPosition++];
      applyObject(node, key, value, version);
    }
  }

  function applyObject(
    node: Node,
    key: string,
    value: string,
    version: number,
  ): void {
    const applied = applyDirect(node.mirror, {key, value, version});
    node.mirror = applied.mirror;
    if (applied.changed.length === 0) return;
    if (key.startsWith('members/')) {
      dispatch(node, {kind: 'member', member: JSON.parse(value) as Member});
    } else {
      dispatch(node, {kind: 'chunk', chunk: JSON.parse(value) as Chunk});
    }
  }

  function planAsCoordinator(node: Node): void {
    const {view} = node.state;
    if (time < 1000) return;
    const members = [...view.members.values()];
    const live = members.filter(
      member => !hasLeaseEnded(view, leaseOf(member)),
    );
    const subject = chunkSubject(service.name, 0);
    const [chosen] = chooseCoordinators(subject, live, 1);
    if (chosen?.instance !== node.state.self.instance) return;
    const chunk = plan({
      service,
      index: 0,
      chunk: view.chunks.get('rota/0'),
      members,
      ended: lease => hasLeaseEnded(view, lease),
      released: (id, lease) => releasedEpoch(view, id.service, id.slice, lease),
    });
    if (chunk) put(node, 'chunks/rota/0', chunk, IGNORE_RESULT);
  }

  function sendGrant(
    node: Node,
    request: Extract<Effect, {kind: 'grant'}>['request'],
  ): void {
    const {process} = node;
    const {upstream} = node;
    schedule(random() * 2, () => {
      const arrive = () => {
        const accepted = acceptGrant(node, process, request);
        const clock = upstreamClock(node);
        schedule(random() * 2, () => {
          if (!node.isAlive || node.process !== process) return;
          const {sequence} = request;
          whenRunning(node, () =>
            dispatch(
              node,
              accepted
                ? {kind: 'granted', sequence, clock}
                : {kind: 'ungranted', sequence},
            ),
          );
        });
        checkInvariants();
      };
      schedule(Math.max(0, upstream.frozenUntil - time), arrive);
    });
  }

  function acceptGrant(
    node: Node,
    process: string,
    request: Extract<Effect, {kind: 'grant'}>['request'],
  ): boolean {
    const {upstream} = node;
    if (upstream.retiredProcesses.has(process)) return false;
    if (upstream.process !== process) {
      upstream.retiredProcesses.add(upstream.process);
    } else if (request.sequence <= upstream.sequence) {
      return false;
    }
    upstream.process = process;
    upstream.sequence = request.sequence;
    upstream.until = request.until;
    upstream.slices = request.slices;
    return true;
  }

  /** Entries under which the upstream of a node would execute a write now. */
  function executable(node: Node): readonly SliceEpoch[] {
    if (fencing === 'enforced') {
      const inForce = upstreamClock(node) < node.upstream.until;
      return inForce ? node.upstream.slices : [];
    }
    if (!node.isAlive || time < node.pausedUntil) return [];
    return [...node.state.holdings.values()].filter(({slice, epoch}) =>
      holdsTerm(node.state, service.name, slice, epoch, clockOf(node)),
    );
  }

  function checkInvariants(): void {
    const owners = new Map<number, {epoch: number; instance: string}>();
    for (const node of nodes) {
      const {instance} = node.state.self;
      for (const {slice, epoch} of executable(node)) {
        const other = owners.get(slice);
        if (other && other.instance !== instance) {
          throw new Error(
            `two owners of slice ${slice} at ${time}: ` +
              `${other.instance}@${other.epoch} and ${instance}@${epoch}`,
          );
        }
        owners.set(slice, {epoch, instance});
        const before = served.get(slice);
        if (before && before.instance !== instance && before.epoch >= epoch) {
          throw new Error(
            `epoch of slice ${slice} went back at ${time}: ` +
              `${before.instance}@${before.epoch}, ${instance}@${epoch}`,
          );
        }
        if (!before || epoch > before.epoch) {
          served.set(slice, {epoch, instance});
        }
      }
    }
  }

  function checkEpochs(current: StoredValue | undefined, next: Chunk): void {
    if (!current) return;
    const before = JSON.parse(current.value) as Chunk;
    before.slices.forEach((record, i) => {
      const highest = record.terms.at(-1)?.epoch ?? 0;
      const known = new Set(record.terms.map(({epoch}) => epoch));
      for (const {epoch} of next.slices[i].terms) {
        if (!known.has(epoch) && epoch <= highest) {
          throw new Error(`epoch ${epoch} of slice ${i} was used before`);
        }
      }
    });
  }

  function run(ms: number): void {
    const end = time + ms;
    for (;;) {
      const next = timers.at(-1);
      if (!next || next.at > end) break;
      timers.pop();
      time = next.at;
      next.run();
    }
    time = end;
    checkInvariants();
  }

  nodes.forEach(start);
  return {
    nodes,
    faults,
    service,
    now: () => time,
    run,
    pause: (index, ms) => {
      const node = nodes[index];
      node.pausedUntil = Math.max(node.pausedUntil, time + ms);
      schedule(ms, () => {
        if (time < node.pausedUntil) return;
        for (const resume of node.deferred.splice(0)) resume();
      });
    },
    restart: index => {
      nodes[index].pausedUntil = 0;
      start(nodes[index]);
    },
    kill: index => {
      nodes[index].isAlive = false;
    },
    freezeUpstream: (index, ms) => {
      nodes[index].upstream.frozenUntil = time + ms;
    },
    partition: group => {
      partitionGroup = new Set(group);
    },
    endPartition: () => {
      partitionGroup = new Set();
    },
    drain: index => dispatch(nodes[index], {kind: 'drain'}),
    setLeaving: (index, isLeaving = true) => {
      const node = nodes[index];
      const {upstream} = node.state;
      if (!upstream) return;
      dispatch(node, {kind: 'upstream', upstream: {...upstream, isLeaving}});
    },
    unserved: () =>
      Array.from({length: slices}, (_, slice) => slice).filter(
        slice =>
          !nodes.some(node => {
            const holding = node.state.holdings.get(`rota/${slice}`);
            return (
              node.isAlive &&
              holding?.state === 'serving' &&
              holdsTerm(
                node.state,
                service.name,
                slice,
                holding.epoch,
                clockOf(node),
              )
            );
          }),
      ),
  };
}

const IGNORE_RESULT = {stored: () => {}, failed: () => {}};

function newNode(index: number, random: () => number): Node {
  const rate = () => 1 + (random() - 0.5) * 0.018;
  return {
    index,
    rate: rate(),
    upstreamRate: rate(),
    state: newState(identityOf(index, ''), LEASE, 0),
    mirror: emptyMirror(),
    isAlive: false,
    pausedUntil: 0,
    startedAt: 0,
    process: '',
    logPosition: 0,
    isPlatformCut: false,
    draining: false,
    inFlight: new Set(),
    deferred: [],
    upstream: {
      process: '',
      sequence: 0,
      until: 0,
      slices: [],
      retiredProcesses: new Set(),
      frozenUntil: 0,
    },
  };
}

function identityOf(index: number, process: string) {
  const address = {host: '127.0.0.1', port: index};
  return {
    instance: `i${index}`,
    process,
    site: 'site',
    region: 'region',
    domain: `d${index % DOMAINS}`,
    callers: address,
    peers: address,
    control: address,
  };
}
