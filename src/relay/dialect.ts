import type {ResponseHead, Statement} from '../upstream/index.js';

/** Fields of a request that its caller states in headers. */
export interface CallerRequest {
  /** Identifier of the request; '' if the caller states none. */
  readonly id: string;
  readonly host: string;
  /** Time that the caller waits for the answer, in milliseconds, if stated. */
  readonly deadlineMs?: number;
  /** Key of the request for a service with keys, if stated. */
  readonly key?: number;
  /** Length of the body in bytes, if stated. */
  readonly contentLength?: number;
  readonly chunked: boolean;
  /** The caller sends its body only after `100 Continue`. */
  readonly expectsContinue: boolean;
  /** Names and values of the forwarded headers, alternating. */
  readonly headers: string[];
  /** Reason for the refusal of a malformed request. */
  readonly problem?: string;
}

/** Fields that the daemon adds to a request for an upstream. */
export interface UpstreamInstructions {
  /** Instance that is to run the request; any other refuses it. */
  readonly instance: string;
  /** Time until the deadline, in milliseconds. */
  readonly leftMs: number;
  /** Service of the instance beside the daemon that received the request. */
  readonly callerService: string;
}

/** Load that an upstream states in an answer. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Meaning of the head of an upstream answer. */
export type Verdict =
  /** The answer to this request, which is forwarded. */
  | {
      readonly kind: 'answer';
      readonly load?: StatedLoad;
      readonly statement: Statement;
    }
  /** The upstream did not run the request. */
  | {
      readonly kind: 'not-run';
      readonly load?: StatedLoad;
      readonly statement: Statement;
    }
  /** The instance does not hold the key. */
  | {readonly kind: 'not-holder'; readonly statement: Statement}
  /** Another instance has the address. */
  | {readonly kind: 'other-instance'}
  /** The bytes are not a valid answer to this request. */
  | {readonly kind: 'garbled'; readonly message: string};

/**
 * Encoding of request and answer fields in the headers of callers and
 * upstreams.
 */
export interface Dialect {
  readonly readRequest: (raw: readonly string[]) => CallerRequest;
  /** Returns the headers to send to an upstream. */
  readonly upstreamHeaders: (
    headers: readonly string[],
    instructions: UpstreamInstructions,
  ) => string[];
  readonly judge: (
    head: ResponseHead,
    requestId: string,
    instance: string,
  ) => Verdict;
  /**
   * Reads the statements of an instance about itself from an answer that is
   * forwarded.
   */
  readonly statement: (head: ResponseHead) => Statement;
}
