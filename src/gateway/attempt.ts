import {type Failure, unknownOutcome} from '../model/index.js';
import type {ResponseHead, Call, ExchangeResult} from '../upstream/index.js';
import {exchange} from '../upstream/index.js';
import type {Dispatcher} from 'undici';
import type {Pass} from './pass.js';

/** How one attempt to get an answer ended. */
export type Attempt =
  /** The caller has the whole answer. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The answer broke off; nothing more can be told to the caller. */
  | {readonly kind: 'broken'; readonly error: Error}
  | FailedTry;

/** An attempt that ended without passing anything on. */
export interface FailedTry {
  readonly kind: 'failed';
  readonly failure: Failure;
  /** Another attempt could end differently. */
  readonly alternative: boolean;
  /** Time to wait before the next attempt, in milliseconds. */
  readonly pauseMs?: number;
  /** The next attempt is no retry: nothing was sent to another process. */
  readonly free?: boolean;
}

/**
 * Describes a failed attempt after which there is nothing else to try.
 *
 * @example
 * return failed(notRun('no-owner', 'no instance serves the slice'));
 */
export function failed(failure: Failure): FailedTry {
  return {kind: 'failed', failure, alternative: false};
}

/** The part of a pass that an exchange needs. */
export type Course = Pick<Pass, 'request' | 'response' | 'state' | 'bodyMode'>;

/** What varies between the exchanges with an upstream and with a peer. */
export interface Manner {
  /** Called immediately before the request is written; false to give it up. */
  readonly ready: () => boolean;
  /** Holds an answer back by returning what it means. */
  readonly judge: (head: ResponseHead) => FailedTry | undefined;
  /** Tells whether the connection of an answer held back is to be closed. */
  readonly distrusts?: () => boolean;
  /** Adds to the headers of an answer that is passed on. */
  readonly extend: (head: ResponseHead) => void;
  /** Called with each part of the body before it is passed on. */
  readonly copied?: (part: Buffer) => void;
  /** What it means that the request was certainly not sent. */
  readonly unsent: (error: Error) => FailedTry;
  /** Tells that no answer is to be expected from there any more. */
  readonly moved?: () => boolean;
  /** Called once, when the attempt has ended. */
  readonly ended: () => void;
}

/** Time between two checks whether the owner has moved, in milliseconds. */
const OWNER_CHECK_MS = 50;

/**
 * Runs one exchange for a pass and describes how it ended.
 *
 * @example
 * const attempt = await runExchange(pass, pool, call, manner);
 */
export function runExchange(
  pass: Course,
  pool: Dispatcher,
  call: Call,
  manner: Manner,
): Promise<Attempt> {
  const {response, state} = pass;
  return new Promise(resolve => {
    let judged: FailedTry | undefined;
    const {moved} = manner;
    const check =
      moved &&
      setInterval(() => {
        if (moved()) abort(new Error('the owner has moved'));
      }, OWNER_CHECK_MS);
    const abort = exchange(pool, call, response, {
      beforeSend: manner.ready,
      onHead: head => {
        clearInterval(check);
        judged = manner.judge(head);
        if (judged) return undefined;
        manner.extend(head);
        if (endsEarly(pass)) response.shouldKeepAlive = false;
        return head.headers;
      },
      mustClose: manner.distrusts,
      onBodyPart: manner.copied,
      onEnd: result => {
        clearInterval(check);
        state.giveUp = undefined;
        manner.ended();
        resolve(describe(result, judged, manner));
      },
    });
    state.giveUp = () => abort(new Error('the request was given up'));
  });
}

/** The answer begins before the whole body of the request has arrived. */
function endsEarly(pass: Course): boolean {
  return pass.bodyMode === 'streamed' && !pass.request.complete;
}

function describe(
  result: ExchangeResult,
  judged: FailedTry | undefined,
  manner: Manner,
): Attempt {
  switch (result.kind) {
    case 'answered':
    case 'broken':
      return result;
    case 'held':
      return judged ?? afterReset('the answer was refused');
    case 'failed':
      if (!result.sent) return manner.unsent(result.error);
      return afterReset(result.error.message);
  }
}

function afterReset(message: string): FailedTry {
  return {
    kind: 'failed',
    failure: unknownOutcome('upstream-reset', `no whole answer: ${message}`),
    alternative: true,
  };
}
