import {request} from 'node:http';
import {parseAddress} from '../model/index.js';
import {
  LATE_TIMER_MS,
  NEVER_PROBED,
  chooseControlPeer,
  countOthers,
  updateRoundTrip,
  applyObservation,
  probeTimeouts,
  peerStatusOf,
  type PeerState,
  type Observation,
  type ProbeTimeouts,
  type ProbeResult,
  type PeerStatus,
  type RoundTripTime,
} from '../relay/index.js';

/** Path at which a daemon serves its status. */
export const STATUS_PATH = '/vanillaspool/status';

/**
 * Path prefix, before a daemon's address, at which a daemon probes that one for
 * another daemon.
 */
export const PEER_STATUS_PATH = `${STATUS_PATH}/`;

/**
 * Path prefix, before a service's name, at which a daemon reads a map from the
 * store for another daemon.
 */
export const MAP_PATH = '/vanillaspool/map/';

/** Largest response to a probe or read, in bytes: a map and its envelope. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Outcome of a probe, with the content of the response. */
export type ProbeOutcome<T> =
  | Exclude<ProbeResult, {readonly kind: 'answered'}>
  /**
   * The value is missing if the response is not a valid one to this request.
   */
  | {readonly kind: 'answered'; readonly tookMs: number; readonly value?: T};

/**
 * Outcome of a probe, and by how much the timer that ended it was late;
 * Infinity if this machine could not send the probe.
 */
interface TimedProbeOutcome<T> {
  readonly outcome: ProbeOutcome<T>;
  readonly lateMs: number;
}

/** Callbacks of a probe. */
export interface ProbeListener {
  /** Called when the connection was accepted, be it after the time limit. */
  readonly accepted: () => void;
  /** Called when an answer came after the time limit. */
  readonly answeredLate: () => void;
}

/**
 * Time after its limit for which the answer to a probe is still read, in
 * milliseconds: about as long as a full link delays it.
 */
const LATE_ANSWER_MS = 3000;

/**
 * Probes another daemon on a new connection, so that the outcome shows whether
 * new connections work. If the timer of the time limit fires late, responses
 * received meanwhile have not been read yet, so the limit is extended once.
 *
 * @param listener Without one, nothing is read after the time limit.
 *
 * @example
 * const limits = {connectMs: 300, answerMs: 1200};
 * const {outcome} = await probePeer<InstanceStatus>(
 *   '10.1.0.8:7620', STATUS_PATH, limits);
 */
export function probePeer<T>(
  node: string,
  path: string,
  limits: ProbeTimeouts,
  listener?: ProbeListener,
): Promise<TimedProbeOutcome<T>> {
  const {host, port} = parseAddress(node);
  const startedAt = performance.now();
  return new Promise(resolve => {
    let isConnected = false;
    let isExtended = false;
    let isLate = false;
    let timer: NodeJS.Timeout;
    const setDeadline = (dueAt: number) => {
      timer = setTimeout(() => onTimeout(dueAt), dueAt - performance.now());
    };
    const onTimeout = (dueAt: number) => {
      const now = performance.now();
      const lateMs = now - dueAt;
      if (isExtended || lateMs < LATE_TIMER_MS) {
        giveUp({kind: isConnected ? 'unanswered' : 'unconnected'}, lateMs);
        return;
      }
      isExtended = true;
      setDeadline(now + (isConnected ? limits.answerMs : limits.connectMs));
    };
    const clientRequest = request(
      {host, port, path, agent: false},
      response => {
        const chunks: Buffer[] = [];
        let totalBytes = 0;
        response.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          totalBytes += chunk.length;
          // The address may belong to some other server.
          if (totalBytes > MAX_ANSWER_BYTES) finish({kind: 'unanswered'});
        });
        response.on('error', () => finish({kind: 'unanswered'}));
        response.on('end', () => {
          const isComplete = response.complete && response.statusCode === 200;
          const value = isComplete
            ? parseJson<T>(Buffer.concat(chunks))
            : undefined;
          const tookMs = performance.now() - startedAt;
          finish({kind: 'answered', tookMs, value});
        });
      },
    );
    const finish = (outcome: ProbeOutcome<T>, lateMs = 0) => {
      clearTimeout(timer);
      resolve({outcome, lateMs});
      clientRequest.destroy();
      const isAnsweredLate = isLate && outcome.kind === 'answered';
      if (isAnsweredLate) listener?.answeredLate();
    };
    /** Ends the probe, but not the wait for its answer. */
    const giveUp = (outcome: ProbeOutcome<T>, lateMs: number) => {
      if (!listener) return finish(outcome, lateMs);
      isLate = true;
      resolve({outcome, lateMs});
      timer = setTimeout(() => clientRequest.destroy(), LATE_ANSWER_MS);
      timer.unref();
    };
    clientRequest.on('socket', socket => {
      socket.once('connect', () => {
        isConnected = true;
        listener?.accepted();
        if (isLate) return;
        clearTimeout(timer);
        const fromMs = isExtended ? performance.now() : startedAt;
        setDeadline(fromMs + limits.answerMs);
      });
    });
    clientRequest.on('error', (error: NodeJS.ErrnoException) => {
      const {kind, isOwn} = classifyConnectionError(error.code, isConnected);
      finish({kind}, isOwn ? Infinity : 0);
    });
    setDeadline(startedAt + limits.connectMs);
    clientRequest.end();
  });
}

/**
 * Error codes of this machine: no file descriptor, port or memory is available.
 */
const LOCAL_ERROR_CODES: ReadonlySet<string> = new Set([
  'EMFILE',
  'ENFILE',
  'EADDRNOTAVAIL',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Classifies the error of a new connection. Only a refusal before the
 * connection was established proves that no process is listening; a live
 * process may reset connections as well.
 *
 * @param isConnected The connection was established before the error.
 * @returns `isOwn` is true if the error is caused by this machine.
 *
 * @example
 * classifyConnectionError('ECONNREFUSED', false).kind; // 'refused'
 */
export function classifyConnectionError(
  code: string | undefined,
  isConnected: boolean,
): {
  readonly kind: Exclude<ProbeResult['kind'], 'answered'>;
  readonly isOwn: boolean;
} {
  const isOwn = code !== undefined && LOCAL_ERROR_CODES.has(code);
  // A reset reported before the connect event also follows an accepted
  // connection.
  const isAccepted = isConnected || code === 'ECONNRESET';
  if (isAccepted) return {kind: 'unanswered', isOwn};
  return {kind: code === 'ECONNREFUSED' ? 'refused' : 'unconnected', isOwn};
}

/**
 * Reads a value from another daemon, in a single attempt.
 *
 * @returns undefined when there is no valid response within the time limit.
 *
 * @example
 * const status = await fetchFromPeer<InstanceStatus>(
 *   '10.1.0.8:7620', STATUS_PATH, 700);
 */
export async function fetchFromPeer<T>(
  node: string,
  path: string,
  timeoutMs: number,
): Promise<T | undefined> {
  const limits = {connectMs: timeoutMs, answerMs: timeoutMs};
  const {outcome} = await probePeer<T>(node, path, limits);
  return outcome.kind === 'answered' ? outcome.value : undefined;
}

/** Answers of a live daemon within this time are recorded once. */
const ANSWER_RESOLUTION_MS = 50;

/** Observer of a probe that is judged without comparison with other daemons. */
const UNCOMPARED = {heard: 0, waiting: 0, isAlone: false};

/**
 * Detects failures of other daemons by probes, and by their responses to
 * requests.
 */
export interface FailureDetector<T> {
  /**
   * Probes the status of a daemon; concurrent probes of it are shared. If it
   * does not answer and no other daemon has answered recently, another daemon
   * is probed for comparison.
   *
   * @param others Other known daemons; by default, those probed so far.
   * @returns undefined when the daemon does not answer.
   */
  readonly probe: (
    node: string,
    others?: Iterable<string>,
  ) => Promise<T | undefined>;
  /** Records that a daemon has answered a request, or a part of it. */
  readonly recordAnswer: (node: string) => void;
  /** Records that a daemon has accepted a connection. */
  readonly recordConnection: (node: string) => void;
  /** Returns the current state of a daemon. */
  readonly stateOf: (node: string) => PeerStatus;
}

/**
 * Creates a failure detector, which tracks which daemons answer and their
 * latency.
 *
 * @param node Address of this daemon; its own responses say nothing about the
 *     network.
 *
 * @example
 * const detector = createFailureDetector<InstanceStatus>('10.1.0.8:7620');
 * detector.stateOf('10.1.0.9:7620').liveness; // 'alive'
 */
export function createFailureDetector<T>(node: string): FailureDetector<T> {
  const histories = new Map<string, PeerState>();
  const probesInProgress = new Map<string, Promise<T | undefined>>();
  let fleetLatency: RoundTripTime | undefined;

  const historyOf = (peer: string) => histories.get(peer) ?? NEVER_PROBED;
  const observe = (peer: string, observation: Observation) => {
    if (peer === node) return;
    const now = performance.now();
    histories.set(peer, applyObservation(historyOf(peer), observation, now));
  };

  /** Returns whether another daemon, or its machine, responds. */
  const isReachable = async (control: string) => {
    const limits = probeTimeouts(
      historyOf(control),
      fleetLatency,
      performance.now(),
    );
    const {outcome} = await probePeer<T>(control, STATUS_PATH, limits);
    if (outcome.kind === 'answered')
      observe(control, {kind: 'answer-received'});
    return outcome.kind === 'answered' || outcome.kind === 'refused';
  };

  /**
   * Compares a daemon with the others; probes one of them if none has answered.
   */
  const compareWithOthers = async (
    peer: string,
    others: Iterable<string> = histories.keys(),
  ) => {
    const countPeers = () => countOthers(histories, peer, performance.now());
    const before = countPeers();
    if (before.heard > 0) return {...before, isAlone: false};
    const control = chooseControlPeer(
      histories,
      others,
      [node, peer],
      Math.random(),
    );
    if (control === undefined) return {...before, isAlone: true};
    const isReached = await isReachable(control);
    const {heard, waiting} = countPeers();
    return {heard: heard || Number(isReached), waiting, isAlone: false};
  };

  const runProbe = async (peer: string, others?: Iterable<string>) => {
    const limits = probeTimeouts(
      historyOf(peer),
      fleetLatency,
      performance.now(),
    );
    observe(peer, {kind: 'probe-started'});
    const {probedAt: startedAt} = historyOf(peer);
    const {outcome, lateMs} = await probePeer<T>(peer, STATUS_PATH, limits, {
      accepted: () => observe(peer, {kind: 'connection-accepted', startedAt}),
      answeredLate: () => observe(peer, {kind: 'answered-late', startedAt}),
    });
    const hasNoAnswer =
      outcome.kind !== 'answered' && outcome.kind !== 'refused';
    const observer = {
      ...(hasNoAnswer && lateMs < LATE_TIMER_MS
        ? await compareWithOthers(peer, others)
        : UNCOMPARED),
      lateMs,
    };
    observe(peer, {kind: 'probe-ended', reply: outcome, observer});
    if (outcome.kind !== 'answered') return undefined;
    if (peer !== node)
      fleetLatency = updateRoundTrip(
        fleetLatency,
        outcome.tookMs,
        performance.now(),
      );
    return outcome.value;
  };

  return {
    probe: (peer, others) => {
      const running = probesInProgress.get(peer);
      if (running) return running;
      const probe = runProbe(peer, others).finally(() =>
        probesInProgress.delete(peer),
      );
      probesInProgress.set(peer, probe);
      return probe;
    },
    recordAnswer: peer => {
      const {liveness, lastReceivedAt} = historyOf(peer);
      const sinceMs = performance.now() - lastReceivedAt;
      if (liveness === 'alive' && sinceMs < ANSWER_RESOLUTION_MS) return;
      observe(peer, {kind: 'answer-received'});
    },
    recordConnection: peer => observe(peer, {kind: 'connection-accepted'}),
    stateOf: peer => peerStatusOf(historyOf(peer), performance.now()),
  };
}

function parseJson<T>(bytes: Buffer): T | undefined {
  try {
    return JSON.parse(bytes.toString()) as T;
  } catch {
    return undefined; // The caller treats it as a missing response.
  }
}
