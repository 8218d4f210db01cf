import type {Dispatcher} from 'undici';
import {parseResponseHead, type ResponseHead} from './head.js';
import type {ResponseWriter} from './message.js';

/** A request to one upstream or daemon. */
export interface Call {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values of the headers. */
  readonly headers: string[];
  readonly body: Buffer | AsyncIterable<Uint8Array> | null;
}

/** Sends requests; the receiver of the answer is an undici handler. */
export type Transport = Pick<Dispatcher, 'dispatch'>;

/** Receiver of the answer to one request. */
export type ResponseHandler = Dispatcher.DispatchHandler;

/** Error of a request that was sent, but that its receiver never read. */
export class UnprocessedError extends Error {}

/** The outcome of an exchange. */
export type ExchangeResult =
  /** The complete response was forwarded. */
  | {readonly kind: 'answered'; readonly status: number}
  /** The response was withheld; nothing was forwarded. */
  | {readonly kind: 'withheld'; readonly head: ResponseHead}
  /** No response was received. If `sent` is false, the request was not sent. */
  | {readonly kind: 'failed'; readonly sent: boolean; readonly error: Error}
  /** The response was truncated after a part of it was forwarded. */
  | {readonly kind: 'broken'; readonly error: Error};

/** Callbacks of an exchange. */
export interface ExchangeHooks {
  /**
   * Called immediately before the request is written to its connection. Returns
   * false to cancel the request.
   */
  readonly beforeSend: () => boolean;
  /**
   * Called with the head of the response before anything is forwarded. Returns the
   * headers to forward, or undefined to withhold the response.
   */
  readonly onHead: (head: ResponseHead) => string[] | undefined;
  /** Returns whether to close the connection of a withheld response. */
  readonly mustClose?: () => boolean;
  /** Called with each part of the body before it is forwarded. */
  readonly onBodyPart?: (part: Buffer) => void;
  /** Called once, at the end of the exchange. */
  readonly onEnd: (result: ExchangeResult) => void;
}

/** Aborts an exchange and closes its connection. */
export type Abort = (reason: Error) => void;

/**
 * Limits on the size of the body of a withheld response and on the time to receive
 * it. A longer or slower body may be endless, and reading it costs more than a new
 * connection.
 */
const MAX_WITHHELD_BODY_BYTES = 64 * 1024;
const WITHHELD_TIMEOUT_MS = 1000;

/**
 * Size and time up to which a body that ends with its connection is held, so that
 * it is passed on with its length. A longer or slower one is sent in chunks.
 */
const HOLD_BYTES = 64 * 1024;
const HOLD_MS = 1000;

/**
 * Largest body without a length that is passed on to a client of HTTP/1.0, which
 * takes no chunks.
 */
const MAX_UNCHUNKED_BYTES = 1024 * 1024;

/** Maximum number of early hints per response; they have no backpressure. */
const MAX_EARLY_HINTS = 8;

/** A response whose head and body are held. */
interface HeldResponse {
  readonly headers: string[];
  readonly parts: Buffer[];
  bytes: number;
  /** Ends the hold; missing if the client takes no chunks. */
  readonly timer?: NodeJS.Timeout;
}

/** State of an exchange. */
type Stage = 'queued' | 'sent' | 'forwarding' | 'ended';

/**
 * Sends a request and streams the upstream response to `response` with
 * backpressure. Ends `response` only after the last byte of the upstream response
 * has arrived. Leaves it open if the upstream response is truncated; the caller of
 * this function must then destroy it.
 *
 * No response ends with its connection, even if that of the upstream does: the
 * system closes the connections of a process that is killed, and a part of the
 * body would look whole. It is sent with its length once that is known, or in chunks.
 *
 * @example
 * const abort = exchange(pool, call, response, {
 *   beforeSend: () => true,
 *   onHead: head => head.headers,
 *   onEnd: result => {
 *     if (result.kind === 'broken') response.destroy();
 *   },
 * });
 */
export function exchange(
  transport: Transport,
  call: Call,
  response: ResponseWriter,
  hooks: ExchangeHooks,
): Abort {
  let stage: Stage = 'queued';
  let abortRequest: Abort | undefined;
  let abortReason: Error | undefined;
  let head: ResponseHead | undefined;
  /** Bytes of the body not yet received; NaN if its length is unknown. */
  let remainingBytes = NaN;
  let held: HeldResponse | undefined;
  let isPaused = false;
  let hintCount = 0;
  /** Bytes of a withheld response that may still be received. */
  let remainingWithheldBytes = MAX_WITHHELD_BODY_BYTES;
  let withheldTimer: NodeJS.Timeout | undefined;

  const abortWithheld = () => {
    abortRequest?.(
      new Error(
        'the body of a withheld response exceeds its size or time limit',
      ),
    );
  };

  const fail = (error: Error) => {
    if (stage === 'ended') return;
    clearTimeout(held?.timer);
    const isForwarding = stage === 'forwarding';
    const sent = stage !== 'queued' && !(error instanceof UnprocessedError);
    stage = 'ended';
    if (isForwarding) hooks.onEnd({kind: 'broken', error});
    else hooks.onEnd({kind: 'failed', sent, error});
  };

  const finish = (status: number, last?: Buffer) => {
    stage = 'ended';
    if (held) {
      const {headers, parts, bytes, timer} = held;
      clearTimeout(timer);
      response.writeHead(status, [...headers, 'Content-Length', `${bytes}`]);
      response.end(Buffer.concat(parts));
    } else {
      response.end(last);
    }
    hooks.onEnd({kind: 'answered', status});
  };

  const handleHead = (received: ResponseHead) => {
    const headers = hooks.onHead(received);
    if (!headers) {
      stage = 'ended';
      hooks.onEnd({kind: 'withheld', head: received});
      if (hooks.mustClose?.()) {
        abortRequest?.(new Error('the response does not match the request'));
      } else {
        withheldTimer = setTimeout(abortWithheld, WITHHELD_TIMEOUT_MS);
      }
      return;
    }
    const {status} = received;
    remainingBytes = received.contentLength;
    const isEmpty = hasNoBody(call.method, status) || remainingBytes === 0;
    const endsWithConnection =
      !isEmpty && !received.isChunked && Number.isNaN(remainingBytes);
    const takesChunks = response.useChunkedEncodingByDefault;
    const isUnchunkable = received.isChunked && !takesChunks;
    // Clients may read to the end of the connection, as the upstream ends it.
    if (endsWithConnection) response.shouldKeepAlive = false;
    stage = 'forwarding';
    head = received;
    if (endsWithConnection || (isUnchunkable && !isEmpty)) {
      const timer = takesChunks ? setTimeout(release, HOLD_MS) : undefined;
      held = {headers, parts: [], bytes: 0, timer};
      return;
    }
    response.writeHead(status, headers);
    if (isEmpty) finish(status);
  };

  /** Starts to send a held response in chunks; returns false to wait. */
  const release = (): boolean => {
    if (!held) return true;
    const {headers, parts, timer} = held;
    held = undefined;
    clearTimeout(timer);
    response.writeHead(head?.status ?? 0, headers);
    return parts.length === 0 || response.write(Buffer.concat(parts));
  };

  const hold = (
    unsent: HeldResponse,
    chunk: Buffer,
    resume: () => void,
  ): boolean => {
    unsent.parts.push(chunk);
    unsent.bytes += chunk.length;
    if (unsent.timer === undefined) {
      if (unsent.bytes <= MAX_UNCHUNKED_BYTES) return true;
      const message = `a body without a length is longer than ${MAX_UNCHUNKED_BYTES} bytes, for a client that takes no chunks`;
      abortRequest?.(new Error(message));
      return false;
    }
    return unsent.bytes <= HOLD_BYTES || release() || waitForDrain(resume);
  };

  const waitForDrain = (resume: () => void): false => {
    isPaused = true;
    response.once('drain', resume);
    return false;
  };

  const forwardPart = (chunk: Buffer, resume: () => void): boolean => {
    remainingBytes -= chunk.length;
    hooks.onBodyPart?.(chunk);
    if (held) return hold(held, chunk, resume);
    if (remainingBytes === 0) {
      finish(head?.status ?? 0, chunk);
      return true;
    }
    return response.write(chunk) || waitForDrain(resume);
  };

  let resume = () => {};
  const handler: Dispatcher.DispatchHandler = {
    onConnect(abort) {
      if (abortReason) return abort(abortReason);
      if (!hooks.beforeSend())
        return abort(new Error('the request was cancelled before it was sent'));
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
      // Undici reports an empty part when it resumes with nothing to read.
      if (chunk.length === 0) return true;
      if (stage === 'forwarding') return forwardPart(chunk, resume);
      remainingWithheldBytes -= chunk.length;
      if (remainingWithheldBytes < 0) abortWithheld();
      return true;
    },

    onComplete(trailers) {
      clearTimeout(withheldTimer);
      if (stage !== 'forwarding') return;
      if (trailers?.length) forwardTrailers(response, head, trailers);
      finish(head?.status ?? 0);
    },

    onError(error) {
      clearTimeout(withheldTimer);
      if (isPaused) response.off('drain', resume);
      fail(error);
    },
  };
  transport.dispatch(
    {
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body as Dispatcher.DispatchOptions['body'],
    },
    handler,
  );
  return reason => {
    if (stage === 'ended') return;
    abortReason = reason;
    if (abortRequest) abortRequest(reason);
    else fail(reason);
  };
}

/**
 * Aborts a response so that it cannot be mistaken for a complete one: resets the
 * connection.
 *
 * @example
 * if (result.kind === 'broken') abortResponse(response);
 */
export function abortResponse(response: ResponseWriter): void {
  if (response.socket) response.socket.resetAndDestroy();
  else response.destroy();
}

function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

function forwardEarlyHints(response: ResponseWriter, head: ResponseHead): void {
  const links: string[] = [];
  for (let i = 0; i < head.headers.length; i += 2) {
    if (head.headers[i].toLowerCase() === 'link')
      links.push(head.headers[i + 1]);
  }
  if (links.length === 0) return;
  try {
    response.writeEarlyHints({link: links});
  } catch {
    // Node.js accepts few forms of links. The response follows without the hint.
  }
}

function forwardTrailers(
  response: ResponseWriter,
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
