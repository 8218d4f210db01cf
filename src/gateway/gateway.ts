import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {formatAddress, type Configuration} from '../model/index.js';
import {createPools} from '../upstream/index.js';
import type {Context, GatewayOptions} from './context.js';
import {createObservedLoads} from './observed-loads.js';
import {validateRequest} from './validate.js';
import type {ActiveRequest} from './active-request.js';
import {createReceivedHops} from './received-hops.js';
import {createIdempotencyStore} from './idempotency.js';
import {refuse, runRequest} from './run-request.js';

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
    isDraining: false,
    latestResponses: new WeakMap(),
    idleListeners: [],
  };
  return {
    callers: (request, response) =>
      runInOrder(state, request, response, () =>
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
      state.isDraining = true;
    },
    close: async () => {
      state.isDraining = true;
      if (countInFlight(state, () => true) > 0) {
        await new Promise<void>(resolve => state.idleListeners.push(resolve));
      }
      await closePools(context);
    },
  };
}

interface GatewayState {
  /** Number of passes by the configuration under which they began. */
  readonly inFlight: Map<Configuration, number>;
  isDraining: boolean;
  /** The latest response of each connection. */
  readonly latestResponses: WeakMap<Socket, ServerResponse>;
  /** Called when no request is in flight any more. */
  readonly idleListeners: (() => void)[];
}

function countInFlight(
  state: GatewayState,
  matches: (configuration: Configuration) => boolean,
): number {
  let total = 0;
  for (const [configuration, count] of state.inFlight) {
    if (matches(configuration)) total += count;
  }
  return total;
}

/**
 * Handles a request once the one before it on its connection is answered, so
 * that pipelined requests take effect in order.
 */
function runInOrder(
  state: GatewayState,
  request: IncomingMessage,
  response: ServerResponse,
  begin: () => void,
): void {
  const {socket} = request;
  const previous = state.latestResponses.get(socket);
  state.latestResponses.set(socket, response);
  if (!previous || isEnded(previous)) return begin();
  previous.once('close', () => {
    if (!socket.destroyed) begin();
  });
}

/** No answer is under way, and none was the last of the connection. */
function isReady(state: GatewayState, socket: Socket): boolean {
  const latest = state.latestResponses.get(socket);
  return !latest || (isEnded(latest) && latest.shouldKeepAlive);
}

function isEnded(response: ServerResponse): boolean {
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
    oldAddressPools: pools(UPSTREAM_KEEP_ALIVE_MS),
    peerPools: pools(PEER_KEEP_ALIVE_MS),
    nextNumber: () => (number += 1),
    nextSequence: process => {
      const next = (sequences.get(process) ?? 0) + 1;
      sequences.set(process, next);
      return next;
    },
    receivedHops: createReceivedHops(options.wallClock),
    idempotency: createIdempotencyStore(options.clock),
    ownerAddress: formatAddress(options.self.callers),
    observedLoads: createObservedLoads(options.clock, options.random),
  };
}

async function closePools(context: Context): Promise<void> {
  const {upstreamPools, oldAddressPools: oldAddressPools, peerPools} = context;
  await Promise.all(
    [upstreamPools, oldAddressPools, peerPools].map(p => p.close()),
  );
}

function handle(
  context: Context,
  state: GatewayState,
  request: IncomingMessage,
  response: ServerResponse,
  isForwarded: boolean,
): void {
  if (state.isDraining) response.shouldKeepAlive = false;
  const validation = validateRequest(context, request, response, isForwarded);
  if (validation.kind === 'refused') {
    refuse(context, request, response, validation, isForwarded);
    return;
  }
  const {active: active} = validation;
  trackStart(state, active);
  void runRequest(context, active).finally(() => trackEnd(state, active));
}

function trackStart(state: GatewayState, active: ActiveRequest): void {
  const {inFlight} = state;
  inFlight.set(
    active.configuration,
    (inFlight.get(active.configuration) ?? 0) + 1,
  );
}

function trackEnd(state: GatewayState, active: ActiveRequest): void {
  const {inFlight} = state;
  const remaining = (inFlight.get(active.configuration) ?? 1) - 1;
  if (remaining > 0) inFlight.set(active.configuration, remaining);
  else inFlight.delete(active.configuration);
  if (inFlight.size > 0) return;
  for (const notify of state.idleListeners.splice(0)) notify();
}
