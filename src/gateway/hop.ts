import type {Signer} from './signature.js';

/** What one daemon tells another about a request that it forwards. */
export interface Hop {
  /** Process identifier of the daemon that the request is meant for. */
  readonly receiver: string;
  /** Process identifier of the daemon that forwards it. */
  readonly sender: string;
  /** Grows by one with each request that the sending process forwards. */
  readonly sequence: number;
  /** Wall-clock time of sending, in milliseconds since 1970. */
  readonly sentAt: number;
  /** Time left for the answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Highest epoch that the sender knows for the slice; 0 without a key. */
  readonly epoch: number;
  /** Times that the request has been forwarded. */
  readonly forwardCount: number;
  /** Identifier of the request. */
  readonly request: string;
  /** IP number of the caller. */
  readonly caller: string;
}

/** The parts of a request that the signature of its hop covers. */
export interface SignedRequest {
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
    `${hop.receiver} ${hop.sender} ${hop.sequence} ${hop.sentAt} ${hop.deadlineMs} ` +
    `${hop.epoch} ${hop.forwardCount} ${hop.request} ${hop.caller}`
  );
}

const HOP_FIELD_COUNT = 9;

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
  if (parts.length !== HOP_FIELD_COUNT) return undefined;
  const [receiver, sender, sequence, sentAt, deadlineMs, epoch, forwardCount] =
    parts;
  const [request, caller] = parts.slice(7);
  const numbers = [sequence, sentAt, deadlineMs, epoch, forwardCount].map(
    Number,
  );
  if (!numbers.every(n => Number.isSafeInteger(n) && n >= 0)) return undefined;
  return {
    receiver: receiver,
    sender: sender,
    sequence: numbers[0],
    sentAt: numbers[1],
    deadlineMs: numbers[2],
    epoch: numbers[3],
    forwardCount: numbers[4],
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
  request: SignedRequest,
): string {
  return signer.sign(signedText(text, request));
}

function signedText(hop: string, request: SignedRequest): string {
  const {method, target, traceparent} = request;
  return `${method}\n${target}\n${traceparent}\n${hop}`;
}

/** Whether a forwarded request is accepted, or why it is refused. */
export type HopVerification =
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
  request: SignedRequest,
): HopVerification {
  const {hop: text, signature} = headers;
  if (text === undefined || signature === undefined) {
    return {kind: 'refused', message: 'the request is not signed'};
  }
  if (!signer.verify(signedText(text, request), signature)) {
    return {kind: 'refused', message: 'the signature does not match'};
  }
  const hop = parseHop(text);
  if (!hop) return {kind: 'refused', message: 'the hop is malformed'};
  if (hop.receiver !== process) {
    const message = 'the request is for another process';
    return {kind: 'refused', message, hop};
  }
  if (hop.forwardCount !== 1) {
    const message = 'the request was forwarded before';
    return {kind: 'refused', message, hop};
  }
  return {kind: 'accepted', hop};
}
