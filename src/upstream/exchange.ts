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

/**
 * Looks at the head of an answer before anything is passed on, and returns the
 * headers to pass on, or undefined to hold the answer back.
 */
export type Accept = (head: AnswerHead) => string[] | undefined;

/**
 * Called immediately before a request is written to its connection; returns
 * false to give it up.
 */
export type Ready = () => boolean;

/** A running exchange. */
export interface Exchange {
  readonly result: Promise<ExchangeResult>;
  /** Gives the exchange up and closes its connection. */
  readonly abort: (reason: Error) => void;
}

/**
 * Sends a request and passes the answer on as it arrives. The answer is not
 * read faster than the response takes it. The response is ended only after the
 * last byte of the answer arrived; a broken answer leaves it open, for the
 * caller of this function to destroy.
 *
 * @example
 * const {result} = exchange(pool, call, response, head => head.headers);
 * if ((await result).kind === 'broken') response.destroy();
 */
export function exchange(
  pool: Dispatcher,
  call: Call,
  response: ServerResponse,
  accept: Accept,
  ready?: Ready,
): Exchange {
  let settle: (result: ExchangeResult) => void;
  const result = new Promise<ExchangeResult>(resolve => {
    settle = resolve;
  });
  let abort: ((reason?: Error) => void) | undefined;
  let aborted: Error | undefined;
  let head: AnswerHead | undefined;
  let held = false;
  let ended = false;

  const fail = (error: Error) => {
    response.removeAllListeners('drain');
    if (ended || held) return;
    ended = true;
    if (head) return settle({kind: 'broken', error});
    settle({kind: 'failed', sent: abort !== undefined, error});
  };

  const finish = (status: number) => {
    ended = true;
    response.removeAllListeners('drain');
    response.end();
    settle({kind: 'answered', status});
  };

  const handler: Dispatcher.DispatchHandler = {
    onConnect(abortRequest) {
      if (aborted) return abortRequest(aborted);
      if (ready && !ready()) return abortRequest(new Error('not ready'));
      abort = abortRequest;
    },

    onHeaders(status, raw, resume) {
      if (status < 200) {
        if (status === 103) passHints(response, readAnswerHead(status, raw));
        return true;
      }
      const received = readAnswerHead(status, raw);
      const headers = accept(received);
      if (!headers) {
        held = true;
        settle({kind: 'held', head: received});
        return true;
      }
      head = received;
      response.writeHead(status, headers);
      if (hasNoBody(call.method, status)) finish(status);
      else response.on('drain', resume);
      return true;
    },

    onData(chunk) {
      if (held || ended) return true;
      return response.write(chunk);
    },

    onComplete(trailers) {
      if (held || ended) return;
      if (trailers?.length) passTrailers(response, head, trailers);
      finish(head?.status ?? 0);
    },

    onError: fail,
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
  return {
    result,
    abort: reason => {
      aborted = reason;
      if (abort) abort(reason);
      else fail(reason);
    },
  };
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
