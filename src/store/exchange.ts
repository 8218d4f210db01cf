import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {AnswerLostError, UnavailableError} from './errors.js';

/** One HTTP request to the platform. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with its query. */
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A complete answer of the platform. */
export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
}

/**
 * Sends one request and collects its answer. The request is abandoned when the
 * time is up; one that still waited for a connection is then never sent.
 *
 * @param timeoutMs Time limit from this call to the end of the answer.
 * @throws {UnavailableError} when the request was certainly not sent, or is a
 * read.
 * @throws {AnswerLostError} when a write was sent and got no complete answer.
 *
 * @example
 * const reply = await exchange(pool, {method: 'GET', path: '/objects?key=a'}, 1000);
 */
export function exchange(
  dispatcher: Dispatcher,
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
      const cause = new Error(`no answer within ${timeoutMs} ms`);
      fail(cause);
      inFlight?.abort(cause);
    }, timeoutMs);
    const handler = collectReply({
      onSent: controller => {
        if (isSettled) return controller.abort(new Error('abandoned'));
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

/** Longest answer, in bytes: several times a page of a listing. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;

/** What is told of the course of a request. */
interface RequestCallbacks {
  /** The request is about to be written to a connection. */
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
      else controller.abort(new Error(`more than ${MAX_REPLY_BYTES} bytes`));
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
    return new AnswerLostError(`${request}: the answer was lost`, {cause});
  }
  return new UnavailableError(`${request}: the platform is unreachable`, {
    cause,
  });
}
