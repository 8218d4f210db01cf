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

/** The life of one request in this daemon, from its headers to its answer. */
export interface ActiveRequest {
  /** Configuration in force when the request arrived. */
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
  /** IP number of the caller. */
  readonly caller: string;
  /** Time by which the answer is due, by the gateway's clock. */
  readonly deadlineAt: number;
  readonly span: Span;
  readonly bodyMode: BodyMode;
  readonly limits: BodyLimits;
  /** Ends the pass early: for its deadline, a cancellation or a limit. */
  readonly stop: (failure: Failure) => void;
  readonly state: RequestState;
}

/** What changes during a pass. */
export interface RequestState {
  /** Why the pass was stopped early. */
  stopReason?: Failure;
  /** Gives up what the pass currently waits for. */
  abortCurrent?: () => void;
  abortController?: AbortController;
  bufferedBody?: Buffer;
  /** An attempt ended without it being known whether the request was run. */
  mayHaveRun: boolean;
  /** A part of a streamed body has been taken. */
  isBodyConsumed: boolean;
}

/**
 * Returns a function that stops a pass: it remembers the first reason and gives
 * up what the pass waits for.
 *
 * @example
 * const stop = stopper(state);
 * stop(notRun('deadline', 'the deadline has passed'));
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
 * A request for admission. Its signal is created when it is first read, because
 * most requests are admitted without a wait and never need it.
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
 * Describes a pass to admission control.
 *
 * @example
 * const admitted = await admit(admissionOf(pass));
 */
export function admissionOf(active: ActiveRequest): AdmissionRequest {
  return new PendingAdmission(active);
}

/**
 * Returns the signal that aborts when a pass is stopped. It is made when it is
 * first asked for, as most passes never need it.
 *
 * @example
 * await slots.take(request, () => signalOf(pass));
 */
export function signalOf({state}: Pick<ActiveRequest, 'state'>): AbortSignal {
  if (!state.abortController) {
    state.abortController = new AbortController();
    if (state.stopReason) state.abortController.abort();
  }
  return state.abortController.signal;
}

/**
 * Waits for a promise until the pass is stopped.
 *
 * @example
 * await untilStopped(pass, ownership.changed('rota-display', 7));
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
 * Waits for an event, at most for some time and until the pass is stopped.
 *
 * @example
 * await untilStoppedOrTime(pass, view.changed(), 200);
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
 * Reads the body of a pass into memory.
 The pass is stopped if the body does not arrive whole.
 *
 * @example
 * if (pass.bodyMode === 'kept') await prepareBody(pass);
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
      active.stop(notRun('cancelled', 'the body did not arrive whole'));
    }
  }
}

/**
 * Returns the body to send with one attempt. A streamed body can be taken once.
 *
 * @example
 * const call = {method, path, headers, body: bodyOf(pass)};
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
 * Tells whether the request can be sent once more with its whole body.
 *
 * @example
 * isReplayable(pass); // true until a part of a streamed body is taken
 */
export function isReplayable(active: ActiveRequest): boolean {
  return !active.state.isBodyConsumed;
}
