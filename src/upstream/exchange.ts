import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {parseResponseHead, type ResponseHead} from './head.js';

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
  | {readonly kind: 'held'; readonly head: ResponseHead}
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
  readonly beforeSend: () => boolean;
  /**
   * Looks at the head of the answer before anything is passed on, and returns
   * the headers to pass on, or undefined to hold the answer back.
   */
  readonly onHead: (head: ResponseHead) => string[] | undefined;
  /** Tells whether the connection of an answer held back is to be closed. */
  readonly mustClose?: () => boolean;
  /** Called with each part of the body before it is passed on. */
  readonly onBodyPart?: (part: Buffer) => void;
  /** Called once, when the exchange has ended. */
  readonly onEnd: (result: ExchangeResult) => void;
}

/** Gives an exchange up and closes its connection. */
export type Abort = (reason: Error) => void;

/**
 * Longest body of an answer that is held back, in bytes, and the time in which it
 * has to end: a longer one is not worth its connection, and may have no end.
 */
const MAX_WITHHELD_BODY_BYTES = 64 * 1024;
const WITHHELD_TIMEOUT_MS = 1000;

/** Early hints that are passed on with one answer; they are not paced. */
const MAX_EARLY_HINTS = 8;

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
  let abortReason: Error | undefined;
  let head: ResponseHead | undefined;
  /** Bytes of the body still to come; NaN when its length is not stated. */
  let remainingBytes = NaN;
  let isPaused = false;
  let hintCount = 0;
  /** Bytes of an answer held back that may still come. */
  let remainingWithheldBytes = MAX_WITHHELD_BODY_BYTES;
  let withheldTimer: NodeJS.Timeout | undefined;

  const abortWithheld = () => {
    abortRequest?.(new Error('the answer held back does not end'));
  };

  const fail = (error: Error) => {
    if (stage === 'over') return;
    const passing = stage === 'passing';
    const sent = stage !== 'unsent';
    stage = 'over';
    if (passing) hooks.onEnd({kind: 'broken', error});
    else hooks.onEnd({kind: 'failed', sent, error});
  };

  const finish = (status: number, last?: Buffer) => {
    stage = 'over';
    response.end(last);
    hooks.onEnd({kind: 'answered', status});
  };

  const handleHead = (received: ResponseHead) => {
    const headers = hooks.onHead(received);
    if (!headers) {
      stage = 'over';
      hooks.onEnd({kind: 'held', head: received});
      if (hooks.mustClose?.()) {
        abortRequest?.(new Error('the answer belongs to no request'));
      } else {
        withheldTimer = setTimeout(abortWithheld, WITHHELD_TIMEOUT_MS);
      }
      return;
    }
    const {status} = received;
    remainingBytes = received.contentLength;
    if (!received.isChunked && Number.isNaN(remainingBytes))
      delimitByClose(response);
    response.writeHead(status, headers);
    stage = 'passing';
    head = received;
    if (hasNoBody(call.method, status) || remainingBytes === 0) finish(status);
  };

  const forwardPart = (chunk: Buffer, resume: () => void): boolean => {
    remainingBytes -= chunk.length;
    hooks.onBodyPart?.(chunk);
    if (remainingBytes === 0) {
      finish(head?.status ?? 0, chunk);
      return true;
    }
    if (response.write(chunk)) return true;
    isPaused = true;
    response.once('drain', resume);
    return false;
  };

  let resume = () => {};
  const handler: Dispatcher.DispatchHandler = {
    onConnect(abort) {
      if (abortReason) return abort(abortReason);
      if (!hooks.beforeSend())
        return abort(new Error('the request is withdrawn'));
      abortRequest = abort;
      stage = 'sent';
    },

    onHeaders(status, raw, resumeBody) {
      if (stage !== 'sent') return true;
      if (status < 200) {
        const isPassed = status === 103 && hintCount++ < MAX_EARLY_HINTS;
        if (isPassed)
          forwardEarlyHints(response, parseResponseHead(status, raw));
        return true;
      }
      resume = resumeBody;
      handleHead(parseResponseHead(status, raw));
      return true;
    },

    onData(chunk) {
      if (stage === 'passing') return forwardPart(chunk, resume);
      remainingWithheldBytes -= chunk.length;
      if (remainingWithheldBytes < 0) abortWithheld();
      return true;
    },

    onComplete(trailers) {
      clearTimeout(withheldTimer);
      if (stage !== 'passing') return;
      if (trailers?.length) forwardTrailers(response, head, trailers);
      finish(head?.status ?? 0);
    },

    onError(error) {
      clearTimeout(withheldTimer);
      if (isPaused) response.off('drain', resume);
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
    abortReason = reason;
    if (abortRequest) abortRequest(reason);
    else fail(reason);
  };
}

/**
 * Passes an answer without a length on in the same form, so that it looks no
 * more complete than it was received.
 */
function delimitByClose(response: ServerResponse): void {
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
export function abortResponse(response: ServerResponse): void {
  if (response.socket) response.socket.resetAndDestroy();
  else response.destroy();
}

function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

function forwardEarlyHints(response: ServerResponse, head: ResponseHead): void {
  const links: string[] = [];
  for (let i = 0; i < head.headers.length; i += 2) {
    if (head.headers[i].toLowerCase() === 'link')
      links.push(head.headers[i + 1]);
  }
  if (links.length > 0) response.writeEarlyHints({link: links});
}

function forwardTrailers(
  response: ServerResponse,
  head: ResponseHead | undefined,
  trailers: readonly (string | Buffer)[],
): void {
  if (!head?.isChunked) return;
  const raw = trailers.map(part => Buffer.from(part as string));
  const {headers} = parseResponseHead(head.status, raw);
  const pairs: [string, string][] = [];
  for (let i = 0; i < headers.length; i += 2) {
    pairs.push([headers[i], headers[i + 1]]);
  }
  response.addTrailers(pairs);
}
