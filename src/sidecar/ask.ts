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
const ANSWER_BYTES = 4 * 1024 * 1024;

/** How a question ended, with what was answered. */
export type Answer<T> =
  | Exclude<ProbeResult, {readonly kind: 'answered'}>
  /** Without a value where the answer was none to the question. */
  | {readonly kind: 'answered'; readonly tookMs: number; readonly value?: T};

/**
 * Result of a question, and by how much the timer that ended it was late;
 * infinitely where this machine could not ask.
 */
interface Result<T> {
  readonly answer: Answer<T>;
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
export function question<T>(
  node: string,
  path: string,
  limits: ProbeTimeouts,
): Promise<Result<T>> {
  const {host, port} = parseAddress(node);
  const startedAt = performance.now();
  return new Promise(resolve => {
    let isConnected = false;
    let isAnew = false;
    let timer: NodeJS.Timeout;
    const limitAt = (dueAt: number) => {
      timer = setTimeout(() => over(dueAt), dueAt - performance.now());
    };
    const over = (dueAt: number) => {
      const now = performance.now();
      const lateMs = now - dueAt;
      if (isAnew || lateMs < LATE_TIMER_MS) {
        end({kind: isConnected ? 'unanswered' : 'unconnected'}, lateMs);
        return;
      }
      isAnew = true;
      limitAt(now + (isConnected ? limits.answerMs : limits.connectMs));
    };
    const call = request({host, port, path, agent: false}, response => {
      const parts: Buffer[] = [];
      let total = 0;
      response.on('data', (part: Buffer) => {
        parts.push(part);
        total += part.length;
        // Another server may have the address.
        if (total > ANSWER_BYTES) end({kind: 'unanswered'});
      });
      response.on('error', () => end({kind: 'unanswered'}));
      response.on('end', () => {
        const isWhole = response.complete && response.statusCode === 200;
        const value = isWhole ? parse<T>(Buffer.concat(parts)) : undefined;
        const tookMs = performance.now() - startedAt;
        end({kind: 'answered', tookMs, value});
      });
    });
    const end = (answer: Answer<T>, lateMs = 0) => {
      clearTimeout(timer);
      resolve({answer, lateMs});
      call.destroy();
    };
    call.on('socket', socket => {
      socket.once('connect', () => {
        isConnected = true;
        clearTimeout(timer);
        const fromMs = isAnew ? performance.now() : startedAt;
        limitAt(fromMs + limits.answerMs);
      });
    });
    call.on('error', (error: NodeJS.ErrnoException) => {
      const {kind, isOwn} = readError(error.code, isConnected);
      end({kind}, isOwn ? Infinity : 0);
    });
    limitAt(startedAt + limits.connectMs);
    call.end();
  });
}

/** Errors of this machine: it has no descriptor, port or memory left. */
const OWN_ERRORS: ReadonlySet<string> = new Set([
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
export function readError(
  code: string | undefined,
  isConnected: boolean,
): {
  readonly kind: Exclude<ProbeResult['kind'], 'answered'>;
  readonly isOwn: boolean;
} {
  const isOwn = code !== undefined && OWN_ERRORS.has(code);
  // A reset before the connection is told of comes after it was taken as well.
  const isTaken = isConnected || code === 'ECONNRESET';
  if (isTaken) return {kind: 'unanswered', isOwn};
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
export async function askDaemon<T>(
  node: string,
  path: string,
  timeoutMs: number,
): Promise<T | undefined> {
  const limits = {connectMs: timeoutMs, answerMs: timeoutMs};
  const {answer} = await question<T>(node, path, limits);
  return answer.kind === 'answered' ? answer.value : undefined;
}

/** The observer of a question that is judged without a comparison. */
const UNCOMPARED = {heard: 0, waiting: 0, isAlone: false};

/** What a daemon hears of the others. */
export interface Listener<T> {
  /**
   * Asks a daemon for its status; a question that is under way is shared. Where
   * it stays silent and nobody else was heard, another one is asked as well.
   *
   * @param others Other daemons that are known; those asked so far if missing.
   * @returns undefined when it does not answer.
   */
  readonly ask: (
    node: string,
    others?: Iterable<string>,
  ) => Promise<T | undefined>;
  /** Tells that a daemon has answered a request. */
  readonly heard: (node: string) => void;
  /** What is known now of a daemon that may be silent. */
  readonly silence: (node: string) => PeerStatus;
}

/**
 * Creates what keeps in mind which daemons answer, and how soon.
 *
 * @param node Address of the own daemon, which tells nothing of the network.
 *
 * @example
 * const listener = createListener<Status>('10.1.0.8:7620');
 * listener.silence('10.1.0.9:7620').liveness; // 'alive'
 */
export function createListener<T>(node: string): Listener<T> {
  const hearings = new Map<string, PeerState>();
  const questions = new Map<string, Promise<T | undefined>>();
  let all: RoundTripTime | undefined;

  const hearingOf = (peer: string) => hearings.get(peer) ?? NEVER_PROBED;
  const observe = (peer: string, observation: Observation) => {
    if (peer === node) return;
    const now = performance.now();
    hearings.set(peer, applyObservation(hearingOf(peer), observation, now));
  };

  /** Tells whether another daemon, or the machine that it ran on, answers. */
  const reaches = async (control: string) => {
    const limits = probeTimeouts(hearingOf(control), all, performance.now());
    const {answer} = await question<T>(control, STATUS_PATH, limits);
    if (answer.kind === 'answered') observe(control, {kind: 'answer-received'});
    return answer.kind === 'answered' || answer.kind === 'refused';
  };

  /** Compares a daemon with the others; one is asked where none was heard. */
  const compare = async (
    peer: string,
    others: Iterable<string> = hearings.keys(),
  ) => {
    const counted = () => countOthers(hearings, peer, performance.now());
    const before = counted();
    if (before.heard > 0) return {...before, isAlone: false};
    const control = chooseControlPeer(
      hearings,
      others,
      [node, peer],
      Math.random(),
    );
    if (control === undefined) return {...before, isAlone: true};
    const isReached = await reaches(control);
    const {heard, waiting} = counted();
    return {heard: heard || Number(isReached), waiting, isAlone: false};
  };

  const askNow = async (peer: string, others?: Iterable<string>) => {
    const limits = probeTimeouts(hearingOf(peer), all, performance.now());
    observe(peer, {kind: 'probe-started'});
    const {answer, lateMs} = await question<T>(peer, STATUS_PATH, limits);
    const isSilent = answer.kind !== 'answered' && answer.kind !== 'refused';
    const observer = {
      ...(isSilent && lateMs < LATE_TIMER_MS
        ? await compare(peer, others)
        : UNCOMPARED),
      lateMs,
    };
    observe(peer, {kind: 'probe-ended', reply: answer, observer});
    if (answer.kind !== 'answered') return undefined;
    if (peer !== node)
      all = updateRoundTrip(all, answer.tookMs, performance.now());
    return answer.value;
  };

  return {
    ask: (peer, others) => {
      const running = questions.get(peer);
      if (running) return running;
      const asked = askNow(peer, others).finally(() => questions.delete(peer));
      questions.set(peer, asked);
      return asked;
    },
    heard: peer => observe(peer, {kind: 'answer-received'}),
    silence: peer => peerStatusOf(hearingOf(peer), performance.now()),
  };
}

function parse<T>(bytes: Buffer): T | undefined {
  try {
    return JSON.parse(bytes.toString()) as T;
  } catch {
    return undefined; // Counts as no answer, which the caller acts on.
  }
}
