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

/** Path at which a daemon tells its status. */
export const STATUS_PATH = '/vanillaspool/status';

/** Path, before a service's name, at which a daemon reads a map for another. */
export const MAP_PATH = '/vanillaspool/map/';

/** Longest answer to a question, in bytes: a map and what stands around it. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** How a question ended, with what was answered. */
export type ProbeOutcome<T> =
  | Exclude<ProbeResult, {readonly kind: 'answered'}>
  /** Without a value where the answer was none to the question. */
  | {readonly kind: 'answered'; readonly tookMs: number; readonly value?: T};

/**
 * Result of a question, and by how much the timer that ended it was late;
 * infinitely where this machine could not ask.
 */
interface ProbeResult<T> {
  readonly outcome: ProbeOutcome<T>;
  readonly lateMs: number;
}

/**
 * Asks another daemon on a connection of its own, so that the answer tells
 * whether new connections work. Where the timer of the limit is late, what has
 * arrived meanwhile was not read yet, so the limit counts anew, once.
 *
 * @example
 * const limits = {connectMs: 300, answerMs: 1200};
 * const {answer} = await question<Status>('10.1.0.8:7620', STATUS_PATH, limits);
 */
export function probePeer<T>(
  node: string,
  path: string,
  limits: ProbeTimeouts,
): Promise<ProbeResult<T>> {
  const {host, port} = parseAddress(node);
  const startedAt = performance.now();
  return new Promise(resolve => {
    let isConnected = false;
    let isExtended = false;
    let timer: NodeJS.Timeout;
    const setDeadline = (dueAt: number) => {
      timer = setTimeout(() => onTimeout(dueAt), dueAt - performance.now());
    };
    const onTimeout = (dueAt: number) => {
      const now = performance.now();
      const lateMs = now - dueAt;
      if (isExtended || lateMs < LATE_TIMER_MS) {
        end({kind: isConnected ? 'unanswered' : 'unconnected'}, lateMs);
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
          // Another server may have the address.
          if (totalBytes > MAX_ANSWER_BYTES) end({kind: 'unanswered'});
        });
        response.on('error', () => end({kind: 'unanswered'}));
        response.on('end', () => {
          const isComplete = response.complete && response.statusCode === 200;
          const value = isComplete
            ? parseJson<T>(Buffer.concat(chunks))
            : undefined;
          const tookMs = performance.now() - startedAt;
          end({kind: 'answered', tookMs, value});
        });
      },
    );
    const end = (outcome: ProbeOutcome<T>, lateMs = 0) => {
      clearTimeout(timer);
      resolve({outcome: outcome, lateMs});
      clientRequest.destroy();
    };
    clientRequest.on('socket', socket => {
      socket.once('connect', () => {
        isConnected = true;
        clearTimeout(timer);
        const fromMs = isExtended ? performance.now() : startedAt;
        setDeadline(fromMs + limits.answerMs);
      });
    });
    clientRequest.on('error', (error: NodeJS.ErrnoException) => {
      const {kind, isOwn} = classifyConnectionError(error.code, isConnected);
      end({kind}, isOwn ? Infinity : 0);
    });
    setDeadline(startedAt + limits.connectMs);
    clientRequest.end();
  });
}

/** Errors of this machine: it has no descriptor, port or memory left. */
const LOCAL_ERROR_CODES: ReadonlySet<string> = new Set([
  'EMFILE',
  'ENFILE',
  'EADDRNOTAVAIL',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Tells what the error of a new connection says of the other machine. Only a
 * refusal before the connection stood proves that nobody listens; a process that
 * lives resets connections too.
 *
 * @param isConnected The connection stood before.
 * @returns with `isOwn` where the error is this machine's.
 *
 * @example
 * readError('ECONNREFUSED', false).kind; // 'refused'
 */
export function classifyConnectionError(
  code: string | undefined,
  isConnected: boolean,
): {
  readonly kind: Exclude<ProbeResult['kind'], 'answered'>;
  readonly isOwn: boolean;
} {
  const isOwn = code !== undefined && LOCAL_ERROR_CODES.has(code);
  // A reset before the connection is told of comes after it was taken as well.
  const isAccepted = isConnected || code === 'ECONNRESET';
  if (isAccepted) return {kind: 'unanswered', isOwn};
  return {kind: code === 'ECONNREFUSED' ? 'refused' : 'unconnected', isOwn};
}

/**
 * Asks another daemon once.
 *
 * @returns undefined when it does not answer in time.
 *
 * @example
 * const status = await askDaemon<Status>('10.1.0.8:7620', STATUS_PATH, 700);
 */
export async function fetchFromPeer<T>(
  node: string,
  path: string,
  timeoutMs: number,
): Promise<T | undefined> {
  const limits = {connectMs: timeoutMs, answerMs: timeoutMs};
  const {outcome: outcome} = await probePeer<T>(node, path, limits);
  return outcome.kind === 'answered' ? outcome.value : undefined;
}

/** The observer of a question that is judged without a comparison. */
const UNCOMPARED = {heard: 0, waiting: 0, isAlone: false};

/** What a daemon hears of the others. */
export interface FailureDetector<T> {
  /**
   * Asks a daemon for its status; a question that is under way is shared. Where
   * it stays silent and nobody else was heard, another one is asked as well.
   *
   * @param others Other daemons that are known; those asked so far if missing.
   * @returns undefined when it does not answer.
   */
  readonly probe: (
    node: string,
    others?: Iterable<string>,
  ) => Promise<T | undefined>;
  /** Tells that a daemon has answered a request. */
  readonly recordAnswer: (node: string) => void;
  /** What is known now of a daemon that may be silent. */
  readonly stateOf: (node: string) => PeerStatus;
}

/**
 * Creates what keeps in mind which daemons answer, and how soon.
 *
 * @param node Address of the own daemon, which tells nothing of the network.
 *
 * @example
 * const listener = createListener<Status>('10.1.0.8:7620');
 * listener.silence('10.1.0.9:7620').liveness; // 'heard'
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

  /** Tells whether another daemon, or the machine that it ran on, answers. */
  const isReachable = async (control: string) => {
    const limits = probeTimeouts(
      historyOf(control),
      fleetLatency,
      performance.now(),
    );
    const {outcome: outcome} = await probePeer<T>(control, STATUS_PATH, limits);
    if (outcome.kind === 'answered') observe(control, {kind: 'heard'});
    return outcome.kind === 'answered' || outcome.kind === 'refused';
  };

  /** Compares a daemon with the others; one is asked where none was heard. */
  const compareWithOthers = async (
    peer: string,
    others: Iterable<string> = histories.keys(),
  ) => {
    const countOthers = () => countOthers(histories, peer, performance.now());
    const before = countOthers();
    if (before.heard > 0) return {...before, isAlone: false};
    const control = chooseControlPeer(
      histories,
      others,
      [node, peer],
      Math.random(),
    );
    if (control === undefined) return {...before, isAlone: true};
    const isReached = await isReachable(control);
    const {heard, waiting} = countOthers();
    return {heard: heard || Number(isReached), waiting, isAlone: false};
  };

  const runProbe = async (peer: string, others?: Iterable<string>) => {
    const limits = probeTimeouts(
      historyOf(peer),
      fleetLatency,
      performance.now(),
    );
    observe(peer, {kind: 'asked'});
    const {outcome: outcome, lateMs} = await probePeer<T>(
      peer,
      STATUS_PATH,
      limits,
    );
    const hasNoAnswer =
      outcome.kind !== 'answered' && outcome.kind !== 'refused';
    const observer = {
      ...(hasNoAnswer && lateMs < LATE_TIMER_MS
        ? await compareWithOthers(peer, others)
        : UNCOMPARED),
      lateMs,
    };
    observe(peer, {kind: 'ended', reply: outcome, observer});
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
    recordAnswer: peer => observe(peer, {kind: 'heard'}),
    stateOf: peer => peerStatusOf(historyOf(peer), performance.now()),
  };
}

function parseJson<T>(bytes: Buffer): T | undefined {
  try {
    return JSON.parse(bytes.toString()) as T;
  } catch {
    return undefined; // Counts as no answer, which the caller acts on.
  }
}
