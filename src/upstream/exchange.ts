import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {readAnswerHead, type AnswerHead} from './answer.js';

/** A request as sent to one address. */
export interface Call {
  readonly method: string;
  readonly path: string;
  /** Name and value of each header in turn. */
  readonly headers: string[];
  readonly body: Buffer | AsyncIterable<Uint8Array> | null;
}

/** How an exchange ended. */
export type ExchangeResult =
  /** The whole answer was passed on. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The answer was held back; nothing was passed on. */
  | {readonly kind: 'held'; readonly head: AnswerHead}
  /** No answer; without `sent` the request was certainly not sent. */
  | {readonly kind: 'failed'; readonly sent: boolean; readonly error: Error}
  /** The answer broke off after a part of it was passed on. */
  | {readonly kind: 'broken'; readonly error: Error};

/** What takes part in an exchange besides the call and the response. */
export interface ExchangeHooks {
  /**
   * Called immediately before the request is written to its connection; returns
   * false to give it up.
   */
  readonly ready: () => boolean;
  /**
   * Looks at the head of the answer before anything is passed on, and returns
   * the headers to pass on, or undefined to hold the answer back.
   */
  readonly accept: (head: AnswerHead) => string[] | undefined;
  /** Tells whether the connection of an answer held back is to be closed. */
  readonly distrusts?: () => boolean;
  /** Called with each part of the body before it is passed on. */
  readonly copied?: (part: Buffer) => void;
  /** Called once, when the exchange has ended. */
  readonly ended: (result: ExchangeResult) => void;
}

/** Gives an exchange up and closes its connection. */
export type Abort = (reason: Error) => void;

/**
 * Longest body of an answer that is held back, in bytes, and the time in which it
 * has to end: a longer one is not worth its connection, and may have no end.
 */
const HELD_BYTES = 64 * 1024;
const HELD_MS = 1000;

/** Early hints that are passed on with one answer; they are not paced. */
const MOST_HINTS = 8;

/** Where an exchange stands. */
type Stage = 'unsent' | 'sent' | 'passing' | 'over';

/**
 * Sends a request and passes the answer on as it arrives. The answer is not
 * read faster than the response takes it. The response is ended only after the
 * last byte of the answer arrived; a broken answer leaves it open, for the
 * caller of this function to destroy.
 *
 * @example
 * const abort = exchange(pool, call, response, {
 *   ready: () => true,
 *   accept: head => head.headers,
 *   ended: result => {
 *     if (result.kind === 'broken') response.destroy();
 *   },
 * });
 */
export function exchange(
  pool: Dispatcher,
  call: Call,
  response: ServerResponse,
  hooks: ExchangeHooks,
): Abort {
  let stage: Stage = 'unsent';
  let abortRequest: Abort | undefined;
  let givenUp: Error | undefined;
  let head: AnswerHead | undefined;
  /** Bytes of the body still to come; NaN when its length is not stated. */
  let left = NaN;
  let paused = false;
  let hints = 0;
  /** Bytes of an answer held back that may still come. */
  let heldLeft = HELD_BYTES;
  let heldTimer: NodeJS.Timeout | undefined;

  const dropHeld = () => {
    abortRequest?.(new Error('the answer held back does not end'));
  };

  const fail = (error: Error) => {
    if (stage === 'over') return;
    const passing = stage === 'passing';
    const sent = stage !== 'unsent';
    stage = 'over';
    if (passing) hooks.ended({kind: 'broken', error});
    else hooks.ended({kind: 'failed', sent, error});
  };

  const finish = (status: number, last?: Buffer) => {
    stage = 'over';
    response.end(last);
    hooks.ended({kind: 'answered', status});
  };

  const begin = (received: AnswerHead) => {
    const headers = hooks.accept(received);
    if (!headers) {
      stage = 'over';
      hooks.ended({kind: 'held', head: received});
      if (hooks.distrusts?.()) {
        abortRequest?.(new Error('the answer belongs to no request'));
      } else {
        heldTimer = setTimeout(dropHeld, HELD_MS);
      }
      return;
    }
    const {status} = received;
    left = received.contentLength;
    if (!received.chunked && Number.isNaN(left)) endWithConnection(response);
    response.writeHead(status, headers);
    stage = 'passing';
    head = received;
    if (hasNoBody(call.method, status) || left === 0) finish(status);
  };

  const passOn = (chunk: Buffer, resume: () => void): boolean => {
    left -= chunk.length;
    hooks.copied?.(chunk);
    if (left === 0) {
      finish(head?.status ?? 0, chunk);
      return true;
    }
    if (response.write(chunk)) return true;
    paused = true;
    response.once('drain', resume);
    return false;
  };

  let resume = () => {};
  const handler: Dispatcher.DispatchHandler = {
    onConnect(abort) {
      if (givenUp) return abort(givenUp);
      if (!hooks.ready()) return abort(new Error('the request is withdrawn'));
      abortRequest = abort;
      stage = 'sent';
    },

    onHeaders(status, raw, resumeAnswer) {
      if (stage !== 'sent') return true;
      if (status < 200) {
        const isPassed = status === 103 && hints++ < MOST_HINTS;
        if (isPassed) passHints(response, readAnswerHead(status, raw));
        return true;
      }
      resume = resumeAnswer;
      begin(readAnswerHead(status, raw));
      return true;
    },

    onData(chunk) {
      if (stage === 'passing') return passOn(chunk, resume);
      heldLeft -= chunk.length;
      if (heldLeft < 0) dropHeld();
      return true;
    },

    onComplete(trailers) {
      clearTimeout(heldTimer);
      if (stage !== 'passing') return;
      if (trailers?.length) passTrailers(response, head, trailers);
      finish(head?.status ?? 0);
    },

    onError(error) {
      clearTimeout(heldTimer);
      if (paused) response.off('drain', resume);
      fail(error);
    },
  };
  pool.dispatch(
    {
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body as Dispatcher.DispatchOptions['body'],
    },
    handler,
  );
  return reason => {
    if (stage === 'over') return;
    givenUp = reason;
    if (abortRequest) abortRequest(reason);
    else fail(reason);
  };
}

/**
 * Passes an answer without a length on in the same form, so that it looks no
 * more complete than it was received.
 */
function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

/**
 * Breaks an answer off so that it can't be taken for a complete one: the
 * connection is reset, since its plain end completes an answer without a length.
 *
 * @example
 * if (result.kind === 'broken') breakOff(response);
 */
export function breakOff(response: ServerResponse): void {
  if (response.socket) response.socket.resetAndDestroy();
  else response.destroy();
}

function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

function passHints(response: ServerResponse, head: AnswerHead): void {
  const links: string[] = [];
  for (let i = 0; i < head.headers.length; i += 2) {
    if (head.headers[i].toLowerCase() === 'link')
      links.push(head.headers[i + 1]);
  }
  if (links.length > 0) response.writeEarlyHints({link: links});
}

function passTrailers(
  response: ServerResponse,
  head: AnswerHead | undefined,
  trailers: readonly (string | Buffer)[],
): void {
  if (!head?.chunked) return;
  const raw = trailers.map(part => Buffer.from(part as string));
  const {headers} = readAnswerHead(head.status, raw);
  const pairs: [string, string][] = [];
  for (let i = 0; i < headers.length; i += 2) {
    pairs.push([headers[i], headers[i + 1]]);
  }
  response.addTrailers(pairs);
}
