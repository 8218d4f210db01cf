import type {Signer} from './signature.js';

/** What one daemon tells another about a request that it forwards. */
export interface Hop {
  /** Process identifier of the daemon that the request is meant for. */
  readonly to: string;
  /** Process identifier of the daemon that forwards it. */
  readonly from: string;
  /** Grows by one with each request that the sending process forwards. */
  readonly sequence: number;
  /** Wall-clock time of sending, in milliseconds since 1970. */
  readonly sentAt: number;
  /** Time left for the answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Highest epoch that the sender knows for the slice; 0 without a key. */
  readonly epoch: number;
  /** Times that the request has been forwarded. */
  readonly count: number;
  /** Identifier of the request. */
  readonly request: string;
  /** IP number of the caller. */
  readonly caller: string;
}

/** The parts of a request that the signature of its hop covers. */
export interface HopSubject {
  readonly method: string;
  readonly target: string;
  readonly traceparent: string;
}

/**
 * Writes a hop as the value of one header.
 *
 * @example
 * parseHop(formatHop(hop)); // a hop equal to the first
 */
export function formatHop(hop: Hop): string {
  return (
    `${hop.to} ${hop.from} ${hop.sequence} ${hop.sentAt} ${hop.deadlineMs} ` +
    `${hop.epoch} ${hop.count} ${hop.request} ${hop.caller}`
  );
}

const HOP_FIELDS = 9;

/**
 * Reads a hop from the value of its header.
 *
 * @returns undefined when the value is malformed.
 *
 * @example
 * parseHop('nonsense'); // undefined
 */
export function parseHop(text: string): Hop | undefined {
  const parts = text.split(' ');
  if (parts.length !== HOP_FIELDS) return undefined;
  const [to, from, sequence, sentAt, deadlineMs, epoch, count] = parts;
  const [request, caller] = parts.slice(7);
  const numbers = [sequence, sentAt, deadlineMs, epoch, count].map(Number);
  if (!numbers.every(n => Number.isSafeInteger(n) && n >= 0)) return undefined;
  return {
    to,
    from,
    sequence: numbers[0],
    sentAt: numbers[1],
    deadlineMs: numbers[2],
    epoch: numbers[3],
    count: numbers[4],
    request,
    caller,
  };
}

/**
 * Signs a hop together with the request that it belongs to.
 *
 * @param text The hop as `formatHop` wrote it.
 *
 * @example
 * const signature = signHop(signer, formatHop(hop), subject);
 */
export function signHop(
  signer: Signer,
  text: string,
  subject: HopSubject,
): string {
  return signer.sign(signedText(text, subject));
}

function signedText(hop: string, subject: HopSubject): string {
  const {method, target, traceparent} = subject;
  return `${method}\n${target}\n${traceparent}\n${hop}`;
}

/** Whether a forwarded request is accepted, or why it is refused. */
export type HopResult =
  | {readonly kind: 'accepted'; readonly hop: Hop}
  | {
      readonly kind: 'refused';
      readonly message: string;
      /** The hop, when its signature is one of this fleet. */
      readonly hop?: Hop;
    };

/** The headers of a forwarded request that describe its hop. */
export interface HopHeaders {
  readonly hop?: string;
  readonly signature?: string;
}

/**
 * Checks that a forwarded request comes from a daemon of this fleet and is
 * meant for this process. Repeated messages are found by `acceptSequence`.
 *
 * @param process Process identifier of this daemon.
 *
 * @example
 * verifyHop(signer, 'p1', {}, subject).kind; // 'refused'
 */
export function verifyHop(
  signer: Signer,
  process: string,
  headers: HopHeaders,
  subject: HopSubject,
): HopResult {
  const {hop: text, signature} = headers;
  if (text === undefined || signature === undefined) {
    return {kind: 'refused', message: 'the request is not signed'};
  }
  if (!signer.verify(signedText(text, subject), signature)) {
    return {kind: 'refused', message: 'the signature does not match'};
  }
  const hop = parseHop(text);
  if (!hop) return {kind: 'refused', message: 'the hop is malformed'};
  if (hop.to !== process) {
    const message = 'the request is for another process';
    return {kind: 'refused', message, hop};
  }
  if (hop.count !== 1) {
    const message = 'the request was forwarded before';
    return {kind: 'refused', message, hop};
  }
  return {kind: 'accepted', hop};
}
