import {request as sendHttpRequest} from 'node:http';
import type {Socket} from 'node:net';
import {formatAddress, type Address} from '../model/index.js';
import {
  UnprocessedError,
  type Call,
  type ResponseHandler,
  type Transport,
} from '../upstream/index.js';
import {
  FRAME,
  createFrameReader,
  decodeHead,
  encodeFrame,
  encodeHeadFrame,
  type AnswerHead,
  type Frame,
} from './frame.js';
import {CHANNEL_PATH, CHANNEL_PROTOCOL} from './server.js';
import {
  MAX_UPGRADE_WAIT_MS,
  NEW_OPENING,
  wayWithoutChannel,
  type Opening,
} from './opening.js';
import {CREDIT_BYTES} from './window.js';
import {createFrameWriter} from './writer.js';

/** Options of the channels to other daemons. */
export interface ChannelOptions {
  readonly connectTimeoutMs: number;
  /** Time without a request after which a channel is closed. */
  readonly idleTimeoutMs: number;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  /**
   * Returns how requests reach a daemon while no channel to it can be used: it
   * is being opened, has fallen silent, or the daemon does not know the
   * protocol. Each request on it may take a connection of its own.
   */
  readonly fallback: (address: Address) => Transport;
  /** Called when a channel to a daemon has fallen silent. */
  readonly onSilent: (address: Address) => void;
  /** Called when a daemon has accepted a connection for a channel. */
  readonly onConnect?: (address: Address) => void;
  /** Called when anything has arrived from a daemon on a channel. */
  readonly onReceive?: (address: Address) => void;
}

/** Channels to other daemons, opened when they are first needed. */
export interface Channels {
  readonly to: (address: Address) => Transport;
  /** Closes all channels; open requests fail. */
  readonly close: () => void;
}

/**
 * Time without any frame after which a channel with open requests is asked for
 * a sign of life together with the next request, in milliseconds.
 */
const PING_AFTER_MS = 250;

/**
 * Time without an answer to a ping after which further requests are sent on
 * another channel, in milliseconds. A connection can fall silent without a
 * reset while new ones work.
 */
const SILENT_AFTER_MS = 300;

/** Largest number of channels to one daemon. */
const MAX_CHANNELS = 4;

/**
 * Open requests on the channel with the fewest from which another channel is
 * opened. A lost packet delays all requests on its channel.
 */
const CROWDED_STREAMS = 2;

/** Time after which a channel is opened again that a daemon refused. */
const REFUSED_RETRY_MS = 30_000;

/** Time after which a channel is opened again that could not be opened. */
const FAILED_RETRY_MS = 500;

const RETRY_MS = {
  refused: REFUSED_RETRY_MS,
  failed: FAILED_RETRY_MS,
  'timed-out': 0,
} as const;

/** A request on a channel. */
interface Stream {
  readonly handler: ResponseHandler;
  /** Parts that arrived while the receiver was paused. */
  readonly held: Buffer[];
  isPaused: boolean;
  /** Bytes passed on since the last credit. */
  passedBytes: number;
  /** Trailers of an answer whose last part is held. */
  ending?: readonly string[];
}

/**
 * Creates the channels of a daemon. A channel carries many requests at a time
 * over one connection, at a fraction of the cost of an HTTP exchange. Short
 * requests and answers only: a long one would delay the others.
 *
 * A request that finds no channel takes the fallback, or waits for the one that
 * is being opened (`wayWithoutChannel`).
 *
 * @example
 * const channels = createChannels({
 *   connectTimeoutMs: 500, idleTimeoutMs: 30_000, clock, fallback, onSilent});
 * exchange(channels.to(address), call, response, hooks);
 */
export function createChannels(options: ChannelOptions): Channels {
  const peers = new Map<string, Peer>();
  const sweep = setInterval(() => {
    for (const peer of peers.values()) peer.closeIdle();
  }, options.idleTimeoutMs / 2);
  sweep.unref();
  return {
    to: address => {
      const name = formatAddress(address);
      let peer = peers.get(name);
      if (!peer) peers.set(name, (peer = createPeer(address, options)));
      return peer;
    },
    close: () => {
      clearInterval(sweep);
      for (const peer of peers.values()) peer.close();
      peers.clear();
    },
  };
}

interface Peer extends Transport {
  /** Closes the channels that had no request for the idle timeout. */
  readonly closeIdle: () => void;
  readonly close: () => void;
}

function createPeer(address: Address, options: ChannelOptions): Peer {
  const {clock} = options;
  const fallback = options.fallback(address);
  let channels: Channel[] = [];
  let opening: Opening | undefined;
  let waiting: WaitingCall[] = [];
  let isClosed = false;
  let connectFrom = -Infinity;

  const addChannel = (socket: Socket) => {
    const channel = createChannel(
      socket,
      clock,
      () => {
        channels = channels.filter(other => other !== channel);
      },
      () => options.onSilent(address),
      () => options.onReceive?.(address),
    );
    channels = [...channels, channel];
    return channel;
  };

  /** Sends the requests that waited for a channel, or tells why they can't be. */
  const endWait = (dispatch: (entry: WaitingCall) => void) => {
    const ended = waiting;
    waiting = [];
    ended.forEach(dispatch);
  };

  const failWaiting = (message: string) =>
    endWait(({handler}) => handler.onError?.(new Error(message)));

  const finishOpening = (result: OpenResult) => {
    opening = undefined;
    if (result.kind === 'open' || result.kind === 'refused') {
      options.onConnect?.(address);
    }
    if (result.kind === 'open') {
      if (isClosed) return void result.socket.destroy();
      const channel = addChannel(result.socket);
      return endWait(({call, handler}) => channel.send(call as Call, handler));
    }
    connectFrom = clock() + RETRY_MS[result.kind];
    if (result.kind === 'timed-out') {
      return failWaiting('the daemon did not open a channel in time');
    }
    endWait(({call, handler}) => fallback.dispatch(call, handler));
  };

  const connect = () => {
    const isDue = clock() >= connectFrom && channels.length < MAX_CHANNELS;
    if (opening || isClosed || !isDue) return;
    opening = NEW_OPENING;
    openChannel(
      address,
      options.connectTimeoutMs,
      () => {
        if (!opening) return;
        const acceptedAt = clock();
        opening = {...opening, acceptedAt};
        setTimeout(() => endLongWait(acceptedAt), MAX_UPGRADE_WAIT_MS);
      },
      finishOpening,
    );
  };

  /** Ends the wait if the daemon has accepted the connection, and says no more. */
  const endLongWait = (acceptedAt: number) => {
    if (opening?.acceptedAt !== acceptedAt) return;
    endWait(({call, handler}) => fallback.dispatch(call, handler));
  };

  /** Returns the usable channel with the fewest open requests. */
  const findChannel = () =>
    channels
      .filter(channel => channel.isUsable())
      .reduce<Channel | undefined>(
        (a, b) => (a && a.streamCount() <= b.streamCount() ? a : b),
        undefined,
      );

  return {
    dispatch: (call, handler) => {
      const best = findChannel();
      if (!best || best.streamCount() >= CROWDED_STREAMS) connect();
      if (best) {
        best.send(call as Call, handler);
        return true;
      }
      const way = wayWithoutChannel(opening, clock());
      opening = way.opening;
      if (way.kind === 'fallback') return fallback.dispatch(call, handler);
      waiting.push({call, handler});
      return true;
    },
    closeIdle: () => {
      const since = clock() - options.idleTimeoutMs;
      for (const channel of channels) {
        const isIdle = channel.streamCount() === 0;
        if (isIdle && channel.usedAt() <= since) channel.close();
      }
    },
    close: () => {
      isClosed = true;
      opening = undefined;
      channels.forEach(channel => channel.close());
      failWaiting('the daemon closes its channels');
    },
  };
}

/** A request that waits for a channel. */
interface WaitingCall {
  readonly call: Parameters<Transport['dispatch']>[0];
  readonly handler: ResponseHandler;
}

type OpenResult =
  | {readonly kind: 'open'; readonly socket: Socket}
  /** The daemon does not speak the protocol. */
  | {readonly kind: 'refused'}
  | {readonly kind: 'failed'}
  | {readonly kind: 'timed-out'};

function openChannel(
  {host, port}: Address,
  timeoutMs: number,
  onAccepted: () => void,
  done: (result: OpenResult) => void,
): void {
  const request = sendHttpRequest({
    ...{host, port, path: CHANNEL_PATH, agent: false},
    headers: {Connection: 'Upgrade', Upgrade: CHANNEL_PROTOCOL},
  });
  const timer = setTimeout(() => {
    finish({kind: 'timed-out'});
    request.destroy();
  }, timeoutMs);
  let isDone = false;
  const finish = (result: OpenResult) => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    done(result);
  };
  request.on('socket', socket => socket.once('connect', onAccepted));
  request.on('upgrade', (_, socket, rest) => {
    if (rest.length > 0) socket.unshift(rest);
    if (isDone) socket.destroy();
    else finish({kind: 'open', socket});
  });
  request.on('response', response => {
    response.resume();
    finish({kind: 'refused'});
  });
  // The requests that found no channel have told of the daemon's state.
  request.on('error', () => finish({kind: 'failed'}));
  request.on('close', () => finish({kind: 'failed'}));
  request.end();
}

/** One connection that carries requests. */
interface Channel {
  readonly send: (call: Call, handler: ResponseHandler) => void;
  /** Returns whether new requests should be sent on it. */
  readonly isUsable: () => boolean;
  /** Number of open requests. */
  readonly streamCount: () => number;
  /** Time of the last request, in milliseconds. */
  readonly usedAt: () => number;
  readonly close: () => void;
}

function createChannel(
  socket: Socket,
  clock: () => number,
  onClose: () => void,
  onSilent: () => void,
  onReceive: () => void,
): Channel {
  const write = createFrameWriter(socket);
  const streams = new Map<number, Stream>();
  let nextStream = 1;
  let receivedAt = clock();
  let usedAt = receivedAt;
  let pingedAt: number | undefined;
  let isSilenceReported = false;
  let isLeaving = false;
  let failure: Error | undefined;

  const failAll = (error: Error, isAffected: (stream: number) => boolean) => {
    for (const [number, {handler}] of [...streams]) {
      if (!isAffected(number)) continue;
      streams.delete(number);
      handler.onError?.(error);
    }
  };

  /** Gives up one request whose receiver throws, without the others. */
  const guard = (number: number, {handler}: Stream, call: () => void) => {
    try {
      call();
    } catch (error) {
      if (streams.delete(number)) write(encodeFrame(FRAME.cancel, number));
      handler.onError?.(error as Error);
    }
  };

  /** Passes a part on, and notes whether the receiver is paused after it. */
  const passOn = (number: number, stream: Stream, part: Buffer) => {
    if (part.length === 0) return;
    guard(number, stream, () => {
      stream.isPaused = stream.handler.onData?.(part) === false;
    });
    stream.passedBytes += part.length;
    if (stream.passedBytes < CREDIT_BYTES) return;
    const bytes = Buffer.allocUnsafe(4);
    bytes.writeUInt32LE(stream.passedBytes, 0);
    stream.passedBytes = 0;
    write(encodeFrame(FRAME.credit, number, bytes));
  };

  const complete = (number: number, stream: Stream) => {
    streams.delete(number);
    guard(number, stream, () =>
      stream.handler.onComplete?.([...(stream.ending ?? [])]),
    );
  };

  const resume = (number: number) => {
    const stream = streams.get(number);
    if (!stream) return;
    stream.isPaused = false;
    while (!stream.isPaused && stream.held.length > 0) {
      passOn(number, stream, stream.held.shift() as Buffer);
    }
    const isDone = stream.held.length === 0 && !stream.isPaused;
    if (isDone && stream.ending && streams.has(number)) {
      complete(number, stream);
    }
  };

  const receivePart = (number: number, stream: Stream, part: Buffer) => {
    if (stream.isPaused || stream.held.length > 0) stream.held.push(part);
    else passOn(number, stream, part);
  };

  const receive = ({kind, stream: number, payload}: Frame) => {
    if (kind === FRAME.goAway) {
      isLeaving = true;
      const error = new UnprocessedError(
        'the daemon closed the channel before it read the request',
      );
      failAll(error, other => other > number);
      return;
    }
    const stream = streams.get(number);
    if (!stream) return; // A pong, or for a request that was cancelled.
    switch (kind) {
      case FRAME.head: {
        const [[status, headers]] = decodeHead<AnswerHead>(payload);
        // `parseResponseHead` reads both forms; undici's type has but one.
        const raw = headers as unknown as Buffer[];
        guard(number, stream, () => {
          stream.handler.onHeaders?.(status, raw, () => resume(number), '');
        });
        return;
      }
      case FRAME.data:
        receivePart(number, stream, payload);
        return;
      case FRAME.end: {
        const [[, trailers], part] = decodeHead<AnswerHead>(payload);
        stream.ending = trailers;
        receivePart(number, stream, part);
        const isDone = !stream.isPaused && stream.held.length === 0;
        if (isDone && streams.has(number)) complete(number, stream);
        return;
      }
      case FRAME.reset:
        streams.delete(number);
        stream.handler.onError?.(new Error('the daemon broke the answer off'));
        return;
      default:
        return; // Kinds of a later version that a server may do without.
    }
  };
  const read = createFrameReader(receive);

  const close = (error: Error) => {
    failure ??= error;
    socket.destroy();
  };
  socket.setNoDelay(true);
  socket.setTimeout(0);
  socket.on('data', (bytes: Buffer) => {
    receivedAt = clock();
    onReceive();
    pingedAt = undefined;
    isSilenceReported = false;
    try {
      read(bytes);
    } catch (error) {
      close(error as Error);
    }
  });
  socket.on('error', error => {
    failure ??= error;
  });
  socket.on('end', () => close(new Error('the daemon closed the channel')));
  socket.on('close', () => {
    onClose();
    const error = failure ?? new Error('the channel was closed');
    // An answer that has arrived whole is still passed on.
    failAll(error, number => !streams.get(number)?.ending);
  });

  const isSilent = () => {
    if (pingedAt === undefined) return false;
    if (clock() - pingedAt < SILENT_AFTER_MS) return false;
    if (!isSilenceReported) onSilent();
    isSilenceReported = true;
    return true;
  };

  return {
    isUsable: () => {
      if (isLeaving || socket.destroyed) return false;
      if (!isSilent()) return true;
      if (streams.size === 0) close(new Error('the channel is silent'));
      return false;
    },
    streamCount: () => streams.size,
    usedAt: () => usedAt,
    send: (call, handler) => {
      const number = nextStream;
      let isAborted = false;
      handler.onConnect?.(reason => {
        isAborted = true;
        const wasOpen = streams.delete(number);
        if (wasOpen) write(encodeFrame(FRAME.cancel, number));
        if (wasOpen || number === nextStream) {
          handler.onError?.(reason ?? new Error('the request was aborted'));
        }
      });
      if (isAborted) return;
      nextStream += 1;
      usedAt = clock();
      const {method, path, headers, body} = call;
      const stream = {handler, held: [], isPaused: false, passedBytes: 0};
      streams.set(number, stream);
      const bytes = body instanceof Buffer ? body : undefined;
      const head = [method, path, withLength(headers, bytes)] as const;
      write(encodeHeadFrame(FRAME.request, number, head, bytes));
      if (pingedAt === undefined && clock() - receivedAt > PING_AFTER_MS) {
        pingedAt = clock();
        write(encodeFrame(FRAME.ping, 0));
      }
    },
    close: () => close(new Error('the daemon closes its channels')),
  };
}

/** Adds the length of a body that arrived without one. */
function withLength(
  headers: readonly string[],
  body: Buffer | undefined,
): readonly string[] {
  if (!body) return headers;
  const isLength = (text: string, index: number) =>
    index % 2 === 0 && text.toLowerCase() === 'content-length';
  if (headers.some(isLength)) return headers;
  return [...headers, 'Content-Length', String(body.length)];
}
