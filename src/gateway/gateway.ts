import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {formatAddress, type Configuration} from '../model/index.js';
import {createPools} from '../upstream/index.js';
import type {Context, GatewayOptions} from './context.js';
import {createObservedLoads} from './observed.js';
import {openPass} from './open.js';
import type {Pass} from './pass.js';
import {createReceivedHops} from './received.js';
import {createRepeats} from './repeats.js';
import {refuse, runPass} from './run.js';

/** Handles one request of an HTTP server. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** The request path of one daemon. */
export interface Gateway {
  /** Handles a request of a caller. */
  readonly callers: Handler;
  /** Handles a request that another daemon forwarded. */
  readonly peers: Handler;
  /** Tells whether the next answer on a connection may be written to it. */
  readonly isReady: (socket: Socket) => boolean;
  /** Returns the number of requests that are not answered yet. */
  readonly inFlight: () => number;
  /**
   * Returns the number of requests in flight that began under another
   * configuration object than the one in force.
   */
  readonly earlierInFlight: () => number;
  /** Makes every further answer close its connection. */
  readonly drain: () => void;
  /** Resolves when no request is in flight, and closes the connections. */
  readonly close: () => Promise<void>;
}

const CONNECT_TIMEOUT_MS = 500;
const UPSTREAM_KEEP_ALIVE_MS = 4000;
const PEER_KEEP_ALIVE_MS = 20_000;

/**
 * Creates the request path of a daemon.
 *
 * @example
 * const gateway = createGateway(options);
 * http.createServer(gateway.callers).listen(8080);
 */
export function createGateway(options: GatewayOptions): Gateway {
  const context = createContext(options);
  const state: GatewayState = {
    inFlight: new Map(),
    draining: false,
    latest: new WeakMap(),
    idle: [],
  };
  return {
    callers: (request, response) =>
      inTurn(state, request, response, () =>
        handle(context, state, request, response, false),
      ),
    peers: (request, response) =>
      handle(context, state, request, response, true),
    isReady: socket => isReady(state, socket),
    inFlight: () => countInFlight(state, () => true),
    earlierInFlight: () => {
      const current = context.configuration();
      return countInFlight(state, configuration => configuration !== current);
    },
    drain: () => {
      state.draining = true;
    },
    close: async () => {
      state.draining = true;
      if (countInFlight(state, () => true) > 0) {
        await new Promise<void>(resolve => state.idle.push(resolve));
      }
      await closePools(context);
    },
  };
}

interface GatewayState {
  /** Number of passes by the configuration under which they began. */
  readonly inFlight: Map<Configuration, number>;
  draining: boolean;
  /** The latest response of each connection. */
  readonly latest: WeakMap<Socket, ServerResponse>;
  /** Called when no request is in flight any more. */
  readonly idle: (() => void)[];
}

function countInFlight(
  state: GatewayState,
  counts: (configuration: Configuration) => boolean,
): number {
  let total = 0;
  for (const [configuration, passes] of state.inFlight) {
    if (counts(configuration)) total += passes;
  }
  return total;
}

/**
 * Handles a request once the one before it on its connection is answered, so
 * that pipelined requests take effect in order.
 */
function inTurn(
  state: GatewayState,
  request: IncomingMessage,
  response: ServerResponse,
  begin: () => void,
): void {
  const {socket} = request;
  const before = state.latest.get(socket);
  state.latest.set(socket, response);
  if (!before || isOver(before)) return begin();
  before.once('close', () => {
    if (!socket.destroyed) begin();
  });
}

/** No answer is under way, and none was the last of the connection. */
function isReady(state: GatewayState, socket: Socket): boolean {
  const latest = state.latest.get(socket);
  return !latest || (isOver(latest) && latest.shouldKeepAlive);
}

function isOver(response: ServerResponse): boolean {
  return response.writableFinished || response.destroyed;
}

function createContext(options: GatewayOptions): Context {
  let number = 0;
  const sequences = new Map<string, number>();
  const connectTimeoutMs = CONNECT_TIMEOUT_MS;
  const pools = (keepAliveMs: number) =>
    createPools({connectTimeoutMs, keepAliveMs});
  return {
    ...options,
    upstreamPools: pools(UPSTREAM_KEEP_ALIVE_MS),
    oldPools: pools(UPSTREAM_KEEP_ALIVE_MS),
    peerPools: pools(PEER_KEEP_ALIVE_MS),
    nextNumber: () => (number += 1),
    nextSequence: process => {
      const next = (sequences.get(process) ?? 0) + 1;
      sequences.set(process, next);
      return next;
    },
    received: createReceivedHops(options.wallClock),
    repeats: createRepeats(options.clock),
    ownerHint: formatAddress(options.self.callers),
    loads: createObservedLoads(options.clock, options.random),
  };
}

async function closePools(context: Context): Promise<void> {
  const {upstreamPools, oldPools, peerPools} = context;
  await Promise.all([upstreamPools, oldPools, peerPools].map(p => p.close()));
}

function handle(
  context: Context,
  state: GatewayState,
  request: IncomingMessage,
  response: ServerResponse,
  forwarded: boolean,
): void {
  if (state.draining) response.shouldKeepAlive = false;
  const opened = openPass(context, request, response, forwarded);
  if (opened.kind === 'refused') {
    refuse(context, request, response, opened, forwarded);
    return;
  }
  const {pass} = opened;
  enter(state, pass);
  void runPass(context, pass).finally(() => leave(state, pass));
}

function enter(state: GatewayState, pass: Pass): void {
  const {inFlight} = state;
  inFlight.set(pass.configuration, (inFlight.get(pass.configuration) ?? 0) + 1);
}

function leave(state: GatewayState, pass: Pass): void {
  const {inFlight} = state;
  const left = (inFlight.get(pass.configuration) ?? 1) - 1;
  if (left > 0) inFlight.set(pass.configuration, left);
  else inFlight.delete(pass.configuration);
  if (inFlight.size > 0) return;
  for (const notify of state.idle.splice(0)) notify();
}
