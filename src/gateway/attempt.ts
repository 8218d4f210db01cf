import {type Failure, unknownOutcome} from '../model/index.js';
import type {ResponseHead, Call, ExchangeResult} from '../upstream/index.js';
import {exchange} from '../upstream/index.js';
import type {Dispatcher} from 'undici';
import type {ActiveRequest} from './active-request.js';

/** How one attempt to get an answer ended. */
export type Attempt =
  /** The caller has the whole answer. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The answer broke off; nothing more can be told to the caller. */
  | {readonly kind: 'broken'; readonly error: Error}
  | AttemptFailure;

/** An attempt that ended without passing anything on. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly failure: Failure;
  /** Another attempt could end differently. */
  readonly hasAlternative: boolean;
  /** Time to wait before the next attempt, in milliseconds. */
  readonly backoffMs?: number;
  /** The next attempt is no retry: nothing was sent to another process. */
  readonly isRetryBudgetExempt?: boolean;
}

/**
 * Describes a failed attempt after which there is nothing else to try.
 *
 * @example
 * return failed(notRun('no-owner', 'no instance serves the slice'));
 */
export function finalFailure(failure: Failure): AttemptFailure {
  return {kind: 'failed', failure, hasAlternative: false};
}

/** The part of a pass that an exchange needs. */
export type ExchangeRequest = Pick<
  ActiveRequest,
  'request' | 'response' | 'state' | 'bodyMode'
>;

/** What varies between the exchanges with an upstream and with a peer. */
export interface ExchangePolicy {
  /** Called immediately before the request is written; false to give it up. */
  readonly canSend: () => boolean;
  /** Holds an answer back by returning what it means. */
  readonly classify: (head: ResponseHead) => AttemptFailure | undefined;
  /** Tells whether the connection of an answer held back is to be closed. */
  readonly mustCloseConnection?: () => boolean;
  /** Adds to the headers of an answer that is passed on. */
  readonly addHeaders: (head: ResponseHead) => void;
  /** Called with each part of the body before it is passed on. */
  readonly onBodyPart?: (part: Buffer) => void;
  /** What it means that the request was certainly not sent. */
  readonly classifyUnsent: (error: Error) => AttemptFailure;
  /** Tells that no answer is to be expected from there any more. */
  readonly hasOwnerMoved?: () => boolean;
  /** Called once, when the attempt has ended. */
  readonly onEnd: () => void;
}

/** Time between two checks whether the owner has moved, in milliseconds. */
const OWNER_CHECK_INTERVAL_MS = 50;

/**
 * Runs one exchange for a pass and describes how it ended.
 *
 * @example
 * const attempt = await runExchange(pass, pool, call, manner);
 */
export function runExchange(
  active: ExchangeRequest,
  pool: Dispatcher,
  call: Call,
  policy: ExchangePolicy,
): Promise<Attempt> {
  const {response, state} = active;
  return new Promise(resolve => {
    let heldFailure: AttemptFailure | undefined;
    const {hasOwnerMoved: hasOwnerMoved} = policy;
    const ownerCheck =
      hasOwnerMoved &&
      setInterval(() => {
        if (hasOwnerMoved()) abort(new Error('the owner has moved'));
      }, OWNER_CHECK_INTERVAL_MS);
    const abort = exchange(pool, call, response, {
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
    state.abortCurrent = () => abort(new Error('the request was given up'));
  });
}

/** The answer begins before the whole body of the request has arrived. */
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
    case 'held':
      return heldFailure ?? resetFailure('the answer was refused');
    case 'failed':
      if (!result.sent) return policy.classifyUnsent(result.error);
      return resetFailure(result.error.message);
  }
}

function resetFailure(message: string): AttemptFailure {
  return {
    kind: 'failed',
    failure: unknownOutcome('upstream-reset', `no whole answer: ${message}`),
    hasAlternative: true,
  };
}
