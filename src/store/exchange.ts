import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {AnswerLostError, UnavailableError} from './errors.js';

/** One HTTP request to the platform. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query string. */
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A complete response of the platform. */
export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
}

/**
 * Sends one request and collects the response. Aborts the request at the time
 * limit; a request that is still waiting for a connection is never sent.
 *
 * @param timeoutMs Time limit from this call to the end of the response, in
 *     milliseconds.
 * @throws {UnavailableError} if the request was certainly not sent, or is a read.
 * @throws {AnswerLostError} if a write was sent and no complete response arrived.
 *
 * @example
 * const reply = await exchange(pool, {method: 'GET', path: '/objects?key=a'}, 1000);
 */
export function exchange(
  dispatcher: Pick<Dispatcher, 'dispatch'>,
  call: Call,
  timeoutMs: number,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    let isSettled = false;
    let inFlight: Dispatcher.DispatchController | undefined;
    const settle = (then: () => void) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      then();
    };
    const fail = (cause: Error) => {
      const wasSent = inFlight !== undefined;
      settle(() => reject(errorOf(call, wasSent, cause)));
    };
    const timer = setTimeout(() => {
      const cause = new Error(`no complete response within ${timeoutMs} ms`);
      fail(cause);
      inFlight?.abort(cause);
    }, timeoutMs);
    const handler = collectReply({
      onSent: controller => {
        if (isSettled)
          return controller.abort(new Error('the request has already failed'));
        inFlight = controller;
      },
      onReply: reply => settle(() => resolve(reply)),
      onError: fail,
    });
    try {
      dispatcher.dispatch({...call}, handler);
    } catch (error) {
      fail(error as Error);
    }
  });
}

/** Maximum size of a response body: several times a page of a listing. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;

/** Callbacks for the progress of a request. */
interface RequestCallbacks {
  /** Called when the request is about to be written to a connection. */
  readonly onSent: (controller: Dispatcher.DispatchController) => void;
  readonly onReply: (reply: Reply) => void;
  readonly onError: (error: Error) => void;
}

function collectReply(callbacks: RequestCallbacks): Dispatcher.DispatchHandler {
  const parts: Buffer[] = [];
  let total = 0;
  let status = 0;
  let headers: IncomingHttpHeaders = {};
  return {
    onRequestStart: callbacks.onSent,
    onResponseStart: (_controller, statusCode, received) => {
      status = statusCode;
      headers = received;
    },
    onResponseData: (controller, part) => {
      total += part.length;
      if (total <= MAX_REPLY_BYTES) parts.push(part);
      else
        controller.abort(
          new Error(`response body exceeds ${MAX_REPLY_BYTES} bytes`),
        );
    },
    onResponseEnd: () => {
      const body = Buffer.concat(parts).toString();
      callbacks.onReply({status, body, headers});
    },
    onResponseError: (_controller, error) => callbacks.onError(error),
  };
}

function errorOf(call: Call, wasSent: boolean, cause: Error): Error {
  const request = `${call.method} ${call.path}`;
  if (wasSent && call.method !== 'GET') {
    return new AnswerLostError(
      `${request}: no complete response; the write may have taken effect`,
      {cause},
    );
  }
  return new UnavailableError(
    `${request}: no complete response from the platform`,
    {
      cause,
    },
  );
}
