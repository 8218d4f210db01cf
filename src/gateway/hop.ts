import type {Signer} from './signature.js';

/** Metadata of a request that one daemon forwards to another. */
export interface Hop {
  /** Process identifier of the daemon that the request is sent to. */
  readonly receiver: string;
  /** Process identifier of the daemon that forwards the request. */
  readonly sender: string;
  /** Incremented for each request that the sender forwards to the receiver. */
  readonly sequence: number;
  /** Wall-clock time of sending, in milliseconds since 1970. */
  readonly sentAt: number;
  /** Time until the deadline of the answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Highest epoch of the slice known to the sender; 0 without a key. */
  readonly epoch: number;
  /** Number of times the request has been forwarded, including this hop. */
  readonly forwardCount: number;
  /** Identifier of the request. */
  readonly request: string;
  /** IP address of the caller. */
  readonly caller: string;
}

/** The parts of a request that the signature of its hop covers. */
export interface SignedRequest {
  readonly method: string;
  readonly target: string;
  readonly traceparent: string;
}

/**
 * Formats a hop as a header value.
 *
 * @example
 * parseHop(formatHop(hop)); // equals hop
 */
export function formatHop(hop: Hop): string {
  return (
    `${hop.receiver} ${hop.sender} ${hop.sequence} ${hop.sentAt} ${hop.deadlineMs} ` +
    `${hop.epoch} ${hop.forwardCount} ${hop.request} ${hop.caller}`
  );
}

const HOP_FIELD_COUNT = 9;

/**
 * Parses a hop from a header value.
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
    receiver,
    sender,
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
 * Signs a hop together with its request.
 *
 * @param text The hop as formatted by `formatHop`.
 *
 * @example
 * const signature = signHop(signer, formatHop(hop), request);
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

/** Result of verifying the hop of a forwarded request. */
export type HopVerification =
  | {readonly kind: 'accepted'; readonly hop: Hop}
  | {
      readonly kind: 'refused';
      readonly message: string;
      /** Present when the signature is valid for this fleet. */
      readonly hop?: Hop;
    };

/** The headers of a forwarded request that describe its hop. */
export interface HopHeaders {
  readonly hop?: string;
  readonly signature?: string;
}

/**
 * Verifies that a forwarded request comes from a daemon of this fleet and is
 * addressed to this process. Duplicates are detected by `acceptSequence`.
 *
 * @param process Process identifier of this daemon.
 *
 * @example
 * verifyHop(signer, 'p1', {}, request).kind; // 'refused'
 */
export function verifyHop(
  signer: Signer,
  process: string,
  headers: HopHeaders,
  request: SignedRequest,
): HopVerification {
  const {hop: text, signature} = headers;
  if (text === undefined || signature === undefined) {
    return {kind: 'refused', message: 'hop or signature header is missing'};
  }
  if (!signer.verify(signedText(text, request), signature)) {
    return {
      kind: 'refused',
      message: 'hop signature does not match any secret of this fleet',
    };
  }
  const hop = parseHop(text);
  if (!hop) return {kind: 'refused', message: 'hop header is malformed'};
  if (hop.receiver !== process) {
    const message = 'hop is addressed to another process';
    return {kind: 'refused', message, hop};
  }
  if (hop.forwardCount !== 1) {
    const message = 'forward count of the hop must be 1';
    return {kind: 'refused', message, hop};
  }
  return {kind: 'accepted', hop};
}
