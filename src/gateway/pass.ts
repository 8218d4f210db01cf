import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  type Configuration,
  type Failure,
  type Service,
  notRun,
} from '../model/index.js';
import type {AdmissionRequest} from './admission.js';
import {keepBody, streamBody, type BodyLimits, type BodyMode} from './body.js';
import type {RequestHead} from './head.js';
import type {Hop} from './hop.js';
import type {Span} from './trace.js';

/** The life of one request in this daemon, from its headers to its answer. */
export interface Pass {
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
  readonly state: PassState;
}

/** What changes during a pass. */
export interface PassState {
  /** Why the pass was stopped early. */
  stopped?: Failure;
  /** Gives up what the pass currently waits for. */
  giveUp?: () => void;
  controller?: AbortController;
  kept?: Buffer;
  /** An attempt ended without it being known whether the request was run. */
  mayHaveRun: boolean;
  /** A part of a streamed body has been taken. */
  consumed: boolean;
}

/**
 * Returns a function that stops a pass: it remembers the first reason and gives
 * up what the pass waits for.
 *
 * @example
 * const stop = stopper(state);
 * stop(notRun('deadline', 'the deadline has passed'));
 */
export function stopper(state: PassState): (failure: Failure) => void {
  return failure => {
    if (state.stopped) return;
    state.stopped = failure;
    state.controller?.abort();
    state.giveUp?.();
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
  readonly #state: PassState;

  constructor(pass: Pass) {
    this.service = pass.service.name;
    this.priority = pass.service.priority;
    this.deadlineAt = pass.deadlineAt;
    this.caller = pass.caller;
    this.key = pass.key;
    this.#state = pass.state;
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
export function admissionOf(pass: Pass): AdmissionRequest {
  return new PendingAdmission(pass);
}

/**
 * Returns the signal that aborts when a pass is stopped. It is made when it is
 * first asked for, as most passes never need it.
 *
 * @example
 * await slots.take(request, () => signalOf(pass));
 */
export function signalOf({state}: Pick<Pass, 'state'>): AbortSignal {
  if (!state.controller) {
    state.controller = new AbortController();
    if (state.stopped) state.controller.abort();
  }
  return state.controller.signal;
}

/**
 * Waits for a promise until the pass is stopped.
 *
 * @example
 * await untilStopped(pass, ownership.changed('rota-display', 7));
 */
export function untilStopped(
  pass: Pick<Pass, 'state'>,
  event: Promise<unknown>,
): Promise<void> {
  const {state} = pass;
  return new Promise(resolve => {
    const end = () => {
      state.giveUp = undefined;
      resolve();
    };
    if (state.stopped) return end();
    state.giveUp = end;
    event.then(end, end);
  });
}

/**
 * Waits for an event, at most for some time and until the pass is stopped.
 *
 * @example
 * await untilStoppedOrTime(pass, view.changed(), 200);
 */
export async function untilStoppedOrTime(
  pass: Pick<Pass, 'state'>,
  event: Promise<unknown> | undefined,
  timeMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const time = new Promise(resolve => {
    timer = setTimeout(resolve, Math.max(1, timeMs));
  });
  await untilStopped(pass, event ? Promise.race([event, time]) : time);
  clearTimeout(timer);
}

/**
 * Reads the body of a pass into memory.
 The pass is stopped if the body does not arrive whole.
 *
 * @example
 * if (pass.bodyMode === 'kept') await prepareBody(pass);
 */
export async function prepareBody(pass: Pass): Promise<void> {
  const {request, state} = pass;
  continueBody(pass);
  try {
    const reading = keepBody(request, pass.limits);
    void reading.then(kept => (state.kept = kept)).catch(() => {});
    await untilStopped(pass, reading);
  } finally {
    if (!state.kept) {
      pass.stop(notRun('cancelled', 'the body did not arrive whole'));
    }
  }
}

/**
 * Returns the body to send with one attempt. A streamed body can be taken once.
 *
 * @example
 * const call = {method, path, headers, body: bodyOf(pass)};
 */
export function bodyOf(pass: Pass): Buffer | AsyncIterable<Uint8Array> | null {
  switch (pass.bodyMode) {
    case 'none':
      return null;
    case 'kept':
      return pass.state.kept ?? null;
    case 'streamed':
      return takeBody(pass);
  }
}

async function* takeBody(pass: Pass): AsyncGenerator<Buffer> {
  pass.state.consumed = true;
  continueBody(pass);
  yield* streamBody(pass.request, pass.limits);
}

function continueBody(pass: Pass): void {
  if (pass.head.expectsContinue) pass.response.writeContinue();
}

/**
 * Tells whether the request can be sent once more with its whole body.
 *
 * @example
 * isReplayable(pass); // true until a part of a streamed body is taken
 */
export function isReplayable(pass: Pass): boolean {
  return !pass.state.consumed;
}
