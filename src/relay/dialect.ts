import type {ResponseHead, Statement} from '../upstream/index.js';

/** What a caller states of its request. */
export interface CallerRequest {
  /** Identifier of the request; '' when the caller gave none. */
  readonly id: string;
  readonly host: string;
  /** Time that the caller waits, in milliseconds, if it says so. */
  readonly deadlineMs?: number;
  /** Key of a service with keys, if the request carries one. */
  readonly key?: number;
  /** Length of the body in bytes, if it is stated. */
  readonly contentLength?: number;
  readonly chunked: boolean;
  /** The caller sends its body only once it is told to continue. */
  readonly expectsContinue: boolean;
  /** Name and value of each header in turn that is passed on. */
  readonly headers: string[];
  /** Why the request is refused, if it is malformed. */
  readonly problem?: string;
}

/** What the daemon tells an upstream beside the caller's own headers. */
export interface UpstreamInstructions {
  /** Instance that is to run the request; any other refuses it. */
  readonly instance: string;
  /** Time left, in milliseconds. */
  readonly leftMs: number;
  /** Service of the instance beside which the request began. */
  readonly callerService: string;
}

/** Load that an upstream states in an answer. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the head of an upstream's answer means. */
export type Verdict =
  /** The answer to this request, to be passed on. */
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
  /** The bytes are no answer to this request. */
  | {readonly kind: 'garbled'; readonly message: string};

/** How callers and upstreams state what the request path has to know. */
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
  /** Reads what an instance says of itself in an answer that is passed on. */
  readonly statement: (head: ResponseHead) => Statement;
}
