import {setTimeout as sleep} from 'node:timers/promises';
import {
  UNKNOWN_LOAD,
  applyLoadEvent,
  clockAheadMs,
  measureClock,
  type ClockDifference,
  type ClockReading,
  type InstanceLoad,
  type Liveness,
  type LoadEvent,
  type PeerStatus,
} from '../relay/index.js';

/** Environment of the loads of other daemons. */
export interface PeerLoadsContext {
  readonly clock: () => number;
  /** Wall clock in milliseconds. */
  readonly wallClock: () => number;
  /** Probes a daemon; resolves once the failure detector has the outcome. */
  readonly probe: (peer: string) => Promise<unknown>;
  readonly stateOf: (peer: string) => PeerStatus;
  /** Records that a daemon has answered a request. */
  readonly recordAnswer: (peer: string) => void;
  readonly isMember: (peer: string) => boolean;
  readonly signal: AbortSignal;
  readonly runInBackground: (task: Promise<unknown>) => void;
}

/** Loads of the instances beside other daemons, as this daemon knows them. */
export interface PeerLoads {
  readonly of: (peer: string) => InstanceLoad;
  readonly observe: (peer: string, event: LoadEvent) => void;
  /** Records when a daemon read a request, by its clock. */
  readonly observeClock: (peer: string, reading: ClockReading) => void;
  /**
   * Returns by how much the clock of a daemon is ahead of this one's, in
   * milliseconds, if known.
   */
  readonly clockAheadMs: (peer: string) => number | undefined;
  /** Starts to probe a daemon, unless a probe is in progress. */
  readonly probe: (peer: string) => void;
}

/** Load event for each liveness of a daemon, for the choice of an instance. */
const LIVENESS_EVENTS = {
  alive: 'reachable',
  suspect: 'suspected',
  unresponsive: 'unreachable',
  unreachable: 'unreachable',
  refused: 'unreachable',
} as const satisfies Readonly<Record<Liveness, LoadEvent['kind']>>;

/** Interval between probes of a daemon that does not answer. */
const RECOVERY_PROBE_INTERVAL_MS = 400;

/**
 * Probes needed to tell a lost packet, or a single refused connection, from a
 * failed daemon.
 */
const MAX_PROBES = 2;

/**
 * Pause between these probes, in which a live daemon accepts pending
 * connections.
 */
const PROBE_PAUSE_MS = 50;

/**
 * Creates the record of the loads of other daemons. A daemon that does not
 * answer is probed until it does.
 *
 * @example
 * const loads = createPeerLoads(context);
 * loads.observe('10.1.0.8:7620', {kind: 'sent'});
 */
export function createPeerLoads(context: PeerLoadsContext): PeerLoads {
  const {clock, runInBackground} = context;
  const loads = new Map<string, InstanceLoad>();
  const clocks = new Map<string, ClockDifference>();
  const probesInProgress = new Set<string>();

  const loadOf = (peer: string) => loads.get(peer) ?? UNKNOWN_LOAD;

  /** Probes a daemon until it is clear whether it has failed. */
  const probeUntilDecided = async (peer: string) => {
    for (let attempt = 0; attempt < MAX_PROBES; attempt++) {
      if (attempt > 0) await sleep(PROBE_PAUSE_MS);
      await context.probe(peer);
      const {liveness} = context.stateOf(peer);
      observe(peer, {kind: LIVENESS_EVENTS[liveness]});
      if (liveness !== 'suspect') return;
    }
  };

  const probe = async (peer: string) => {
    if (probesInProgress.has(peer)) return;
    probesInProgress.add(peer);
    await probeUntilDecided(peer).finally(() => probesInProgress.delete(peer));
  };

  const wallOffsetMs = () => context.wallClock() - clock();

  const observeClock = (peer: string, reading: ClockReading) => {
    if (Number.isNaN(reading.readAt)) return;
    const before = clocks.get(peer);
    const after = measureClock(before, reading, clock(), wallOffsetMs());
    clocks.set(peer, after);
  };

  const observe = (peer: string, event: LoadEvent) => {
    const before = loadOf(peer);
    const after = applyLoadEvent(before, event, clock());
    loads.set(peer, after);
    if (event.kind === 'reported') context.recordAnswer(peer);
    const isFirst = before.failedProbes === 0 && after.failedProbes > 0;
    if (isFirst) runInBackground(probeUntilReachable(peer));
  };

  /**
   * Probes an unreachable daemon until it answers, so that no request has to
   * try.
   */
  const probeUntilReachable = async (peer: string) => {
    while (!context.signal.aborted && context.isMember(peer)) {
      await sleep(RECOVERY_PROBE_INTERVAL_MS);
      if (loadOf(peer).failedProbes === 0) return;
      await probe(peer);
    }
  };

  return {
    of: peer => {
      const isAvoided = loadOf(peer).failedProbes > 0;
      // Anything else that arrives from it proves as much as an answered probe.
      if (isAvoided && context.stateOf(peer).liveness === 'alive')
        observe(peer, {kind: 'reachable'});
      return loadOf(peer);
    },
    observe,
    observeClock,
    clockAheadMs: peer =>
      clockAheadMs(clocks.get(peer), clock(), wallOffsetMs()),
    probe: peer => runInBackground(probe(peer)),
  };
}
