import {type Failure, unknownOutcome} from '../model/index.js';
import type {
  ResponseHead,
  Call,
  ExchangeResult,
  ReceivedRequest,
  ResponseWriter,
  Transport,
} from '../upstream/index.js';
import {exchange} from '../upstream/index.js';
import type {ActiveRequest} from './active-request.js';

/** Result of one attempt to get an answer. */
export type Attempt =
  /** The whole answer was sent to the caller. */
  | {readonly kind: 'answered'; readonly status: number}
  /**
   * The answer ended early after a part of it was sent, so no failure can be
   * reported to the caller.
   */
  | {readonly kind: 'broken'; readonly error: Error}
  | AttemptFailure;

/**
 * An attempt that failed before any part of an answer was sent to the caller.
 */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly failure: Failure;
  /** Another attempt could succeed. */
  readonly hasAlternative: boolean;
  /** Time to wait before the next attempt, in milliseconds. */
  readonly backoffMs?: number;
  /**
   * The next attempt does not count against the retry budget, because nothing
   * was sent to another process.
   */
  readonly isRetryBudgetExempt?: boolean;
}

/**
 * Creates the result of an attempt after which no other attempt can succeed.
 *
 * @example
 * return finalFailure(notRun('no-owner', 'no instance serves the slice'));
 */
export function finalFailure(failure: Failure): AttemptFailure {
  return {kind: 'failed', failure, hasAlternative: false};
}

/** The part of an active request that an exchange needs. */
export interface ExchangeRequest extends Pick<
  ActiveRequest,
  'state' | 'bodyMode'
> {
  readonly request: Pick<ReceivedRequest, 'complete'>;
  readonly response: ResponseWriter;
}

/** The differences between an exchange with an upstream and one with a peer. */
export interface ExchangePolicy {
  /**
   * Called immediately before the request is written; returning false aborts
   * the exchange.
   */
  readonly canSend: () => boolean;
  /**
   * Returns the failure that an answer stands for, or undefined to send the
   * answer to the caller.
   */
  readonly classify: (head: ResponseHead) => AttemptFailure | undefined;
  /**
   * Returns whether to close the connection of an answer that was classified as
   * a failure.
   */
  readonly mustCloseConnection?: () => boolean;
  /** Adds headers to an answer that is sent to the caller. */
  readonly addHeaders: (head: ResponseHead) => void;
  /** Called with each part of the body before it is sent to the caller. */
  readonly onBodyPart?: (part: Buffer) => void;
  /** Returns the failure for a request that was certainly not sent. */
  readonly classifyUnsent: (error: Error) => AttemptFailure;
  /**
   * Returns whether the owner has changed, so that no answer is expected any
   * more.
   */
  readonly hasOwnerMoved?: () => boolean;
  /** Called once, when the attempt has ended. */
  readonly onEnd: () => void;
}

/** Interval of the checks for a changed owner. */
const OWNER_CHECK_INTERVAL_MS = 50;

/**
 * Runs one exchange for an active request and returns its result.
 *
 * @example
 * const attempt = await runExchange(active, pool, call, policy);
 */
export function runExchange(
  active: ExchangeRequest,
  transport: Transport,
  call: Call,
  policy: ExchangePolicy,
): Promise<Attempt> {
  const {response, state} = active;
  return new Promise(resolve => {
    let heldFailure: AttemptFailure | undefined;
    const {hasOwnerMoved} = policy;
    const ownerCheck =
      hasOwnerMoved &&
      setInterval(() => {
        if (hasOwnerMoved()) abort(new Error('slice has a new owner'));
      }, OWNER_CHECK_INTERVAL_MS);
    const abort = exchange(transport, call, response, {
      beforeSend: policy.canSend,
      onHead: head => {
        clearInterval(ownerCheck);
        heldFailure = policy.classify(head);
        if (heldFailure) return undefined;
        policy.addHeaders(head);
        if (startsBeforeBodyEnds(active)) response.shouldKeepAlive = false;
        return head.headers;
      },
      mustClose: policy.mustCloseConnection,
      onBodyPart: policy.onBodyPart,
      onEnd: result => {
        clearInterval(ownerCheck);
        state.abortCurrent = undefined;
        policy.onEnd();
        resolve(toAttempt(result, heldFailure, policy));
      },
    });
    state.abortCurrent = () => abort(new Error('request aborted'));
  });
}

/**
 * Returns whether the answer starts before the whole request body has arrived.
 */
function startsBeforeBodyEnds(active: ExchangeRequest): boolean {
  return active.bodyMode === 'streamed' && !active.request.complete;
}

function toAttempt(
  result: ExchangeResult,
  heldFailure: AttemptFailure | undefined,
  policy: ExchangePolicy,
): Attempt {
  switch (result.kind) {
    case 'answered':
    case 'broken':
      return result;
    case 'withheld':
      return heldFailure ?? resetFailure('answer rejected by its headers');
    case 'failed':
      if (!result.sent) return policy.classifyUnsent(result.error);
      return resetFailure(result.error.message);
  }
}

function resetFailure(message: string): AttemptFailure {
  return {
    kind: 'failed',
    failure: unknownOutcome('upstream-reset', `answer incomplete: ${message}`),
    hasAlternative: true,
  };
}
