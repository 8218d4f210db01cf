import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  type Configuration,
  type Failure,
  type Service,
  notRun,
} from '../model/index.js';
import type {AdmissionRequest} from './admission.js';
import {
  bufferBody,
  streamBody,
  type BodyLimits,
  type BodyMode,
} from './body.js';
import type {RequestHead} from './head.js';
import type {Hop} from './hop.js';
import type {Span} from './trace.js';

/** A request in flight at this daemon. */
export interface ActiveRequest {
  /** Configuration that was current when the request arrived. */
  readonly configuration: Configuration;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: string;
  readonly head: RequestHead;
  readonly service: Service;
  /** Request target in origin form. */
  readonly target: string;
  /** Path of the target, without its query. */
  readonly path: string;
  readonly key?: string;
  /** Slice of the key; -1 without a key. */
  readonly slice: number;
  /** Present when another daemon forwarded the request. */
  readonly hop?: Hop;
  /** IP address of the caller. */
  readonly caller: string;
  /** Deadline of the answer, in milliseconds of the gateway's clock. */
  readonly deadlineAt: number;
  readonly span: Span;
  readonly bodyMode: BodyMode;
  readonly limits: BodyLimits;
  /**
   * Stops the request for the given reason: an exceeded deadline or limit, or a
   * cancellation.
   */
  readonly stop: (failure: Failure) => void;
  readonly state: RequestState;
}

/** Mutable state of an active request. */
export interface RequestState {
  /** Reason for stopping the request early. */
  stopReason?: Failure;
  /** Aborts the current wait or exchange. */
  abortCurrent?: () => void;
  abortController?: AbortController;
  bufferedBody?: Buffer;
  /** The request may have been run: the outcome of an attempt is unknown. */
  mayHaveRun: boolean;
  /**
   * Reading of a streamed body has started, so the request cannot be sent
   * again.
   */
  isBodyConsumed: boolean;
}

/**
 * Returns a function that stops a request. It records the first reason and
 * aborts the current wait or exchange; later calls have no effect.
 *
 * @example
 * const stop = createStop(state);
 * stop(notRun('deadline', 'request deadline exceeded'));
 */
export function createStop(state: RequestState): (failure: Failure) => void {
  return failure => {
    if (state.stopReason) return;
    state.stopReason = failure;
    state.abortController?.abort();
    state.abortCurrent?.();
  };
}

/**
 * A request for admission. Its signal is created on first access, because most
 * requests are admitted without waiting and never use it.
 */
class PendingAdmission implements AdmissionRequest {
  readonly service: string;
  readonly priority: number;
  readonly deadlineAt: number;
  readonly caller: string;
  readonly key?: string;
  readonly #state: RequestState;

  constructor(active: ActiveRequest) {
    this.service = active.service.name;
    this.priority = active.service.priority;
    this.deadlineAt = active.deadlineAt;
    this.caller = active.caller;
    this.key = active.key;
    this.#state = active.state;
  }

  get signal(): AbortSignal {
    return signalOf({state: this.#state});
  }
}

/**
 * Creates the admission request of an active request.
 *
 * @example
 * const admitted = await admit(admissionOf(active));
 */
export function admissionOf(active: ActiveRequest): AdmissionRequest {
  return new PendingAdmission(active);
}

/**
 * Returns the signal that aborts when a request is stopped. It is created on
 * the first call, because most requests never use it.
 *
 * @example
 * await slots.take(request, () => signalOf(active));
 */
export function signalOf({state}: Pick<ActiveRequest, 'state'>): AbortSignal {
  if (!state.abortController) {
    state.abortController = new AbortController();
    if (state.stopReason) state.abortController.abort();
  }
  return state.abortController.signal;
}

/**
 * Waits until a promise settles or the request is stopped.
 *
 * @example
 * await untilStopped(active, ownership.changed('rota-display', 7));
 */
export function untilStopped(
  active: Pick<ActiveRequest, 'state'>,
  event: Promise<unknown>,
): Promise<void> {
  const {state} = active;
  return new Promise(resolve => {
    const end = () => {
      state.abortCurrent = undefined;
      resolve();
    };
    if (state.stopReason) return end();
    state.abortCurrent = end;
    event.then(end, end);
  });
}

/**
 * Waits until a promise settles, the time has elapsed or the request is
 * stopped.
 *
 * @example
 * await untilStoppedOrTimeout(active, view.changed(), 200);
 */
export async function untilStoppedOrTimeout(
  active: Pick<ActiveRequest, 'state'>,
  event: Promise<unknown> | undefined,
  timeMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise(resolve => {
    timer = setTimeout(resolve, Math.max(1, timeMs));
  });
  await untilStopped(active, event ? Promise.race([event, timeout]) : timeout);
  clearTimeout(timer);
}

/**
 * Reads the body of a request into memory.
 * Stops the request if the body ends early.
 *
 * @example
 * if (active.bodyMode === 'kept') await receiveBody(active);
 */
export async function receiveBody(active: ActiveRequest): Promise<void> {
  const {request, state} = active;
  sendContinue(active);
  try {
    const reading = bufferBody(request, active.limits);
    void reading
      .then(buffered => (state.bufferedBody = buffered))
      .catch(() => {});
    await untilStopped(active, reading);
  } finally {
    if (!state.bufferedBody) {
      active.stop(notRun('cancelled', 'request body ended early'));
    }
  }
}

/**
 * Returns the body to send with one attempt. A streamed body can be sent only
 * once.
 *
 * @example
 * const call = {method, path, headers, body: bodyOf(active)};
 */
export function bodyOf(
  active: ActiveRequest,
): Buffer | AsyncIterable<Uint8Array> | null {
  switch (active.bodyMode) {
    case 'none':
      return null;
    case 'kept':
      return active.state.bufferedBody ?? null;
    case 'streamed':
      return consumeBody(active);
  }
}

async function* consumeBody(active: ActiveRequest): AsyncGenerator<Buffer> {
  active.state.isBodyConsumed = true;
  sendContinue(active);
  yield* streamBody(active.request, active.limits);
}

function sendContinue(active: ActiveRequest): void {
  if (active.head.expectsContinue) active.response.writeContinue();
}

/**
 * Returns whether the request can be sent again with its whole body.
 *
 * @example
 * isReplayable(active); // true until reading of a streamed body starts
 */
export function isReplayable(active: ActiveRequest): boolean {
  return !active.state.isBodyConsumed;
}
