import type {IncomingHttpHeaders, IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {ReceivedRequest, ResponseWriter} from '../upstream/index.js';
import {
  FRAME,
  createFrameReader,
  decodeHead,
  encodeFrame,
  type Frame,
  type RequestHead,
} from './frame.js';
import {ChannelResponse} from './response.js';
import {createFrameWriter} from './writer.js';

/** Protocol name in the `Upgrade` header that opens a channel. */
export const CHANNEL_PROTOCOL = 'vanillaspool-channel-1';

/** Path of the request that opens a channel. */
export const CHANNEL_PATH = '/vanillaspool/channel';

/** Handles a request that arrived on a channel. */
export type ChannelHandler = (
  request: ReceivedRequest,
  response: ResponseWriter,
) => void;

/** The channels that other daemons have opened. */
export interface ChannelServer {
  /**
   * Tells the clients that no further requests are read, and closes the
   * channels. Open answers are broken off. Resolves when all that was written
   * has been handed over to the network.
   */
  readonly close: () => Promise<void>;
}

/** Options of a channel server. */
export interface ChannelServerOptions {
  readonly handle: ChannelHandler;
  /**
   * Time without any frame after which a channel is closed, in milliseconds;
   * its client may have lost power. Must be longer than the idle timeout of
   * clients.
   */
  readonly idleTimeoutMs: number;
  /** Called with the reason when a client breaks the protocol. */
  readonly onProtocolError: (message: string, peer: string | undefined) => void;
}

/**
 * Accepts channels at an HTTP server: a request to upgrade to the channel
 * protocol turns its connection into one. Other upgrades are refused.
 *
 * @example
 * const channels = serveChannels(
 *   server, {handle, idleTimeoutMs: 60_000, onProtocolError});
 * channels.close();
 */
export function serveChannels(
  server: Server,
  options: ChannelServerOptions,
): ChannelServer {
  const connections = new Set<Connection>();
  server.on('upgrade', (request: IncomingMessage, stream: Duplex, rest) => {
    const socket = stream as Socket;
    if (rest.length > 0) socket.unshift(rest);
    if (request.headers.upgrade !== CHANNEL_PROTOCOL) {
      refuseUpgrade(socket);
      return;
    }
    socket.write(
      'HTTP/1.1 101 Switching Protocols\r\n' +
        `Connection: Upgrade\r\nUpgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`,
    );
    const connection = acceptChannel(socket, options);
    connections.add(connection);
    socket.once('close', () => connections.delete(connection));
  });
  return {
    close: async () => {
      const open = [...connections];
      connections.clear();
      await Promise.all(open.map(connection => connection.close()));
    },
  };
}

/**
 * Refuses an upgrade and closes the connection. The HTTP server has detached its
 * own listeners from the socket, so that an error without one would end the
 * process.
 */
function refuseUpgrade(socket: Socket): void {
  socket.on('error', () => {});
  socket.resume();
  socket.end(
    'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n',
    () => socket.destroy(),
  );
}

/** One channel. */
interface Connection {
  readonly close: () => Promise<void>;
}

function acceptChannel(
  socket: Socket,
  {handle, idleTimeoutMs, onProtocolError}: ChannelServerOptions,
): Connection {
  const write = createFrameWriter(socket);
  const answers = new Map<number, ChannelResponse>();
  const {remoteAddress} = socket;
  let lastStream = 0;
  let isClosed = false;

  const receive = ({kind, stream, payload}: Frame) => {
    switch (kind) {
      case FRAME.request: {
        if (isClosed) return;
        const [head, body] = decodeHead<RequestHead>(payload);
        lastStream = Math.max(lastStream, stream);
        const response = new ChannelResponse(stream, socket, write);
        answers.set(stream, response);
        response.once('close', () => answers.delete(stream));
        handle(createRequest(head, body, remoteAddress), response);
        return;
      }
      case FRAME.cancel:
        answers.get(stream)?.cancel();
        return;
      case FRAME.credit:
        answers.get(stream)?.addCredit(payload.readUInt32LE(0));
        return;
      case FRAME.ping:
        write(encodeFrame(FRAME.pong, 0));
        return;
      default:
        return; // Kinds of a later version that a client may do without.
    }
  };
  const read = createFrameReader(receive);

  socket.setNoDelay(true);
  socket.setTimeout(idleTimeoutMs, () => socket.destroy());
  socket.on('data', (bytes: Buffer) => {
    try {
      read(bytes);
    } catch (error) {
      onProtocolError((error as Error).message, remoteAddress);
      socket.destroy();
    }
  });
  socket.on('drain', () => answers.forEach(answer => answer.resume()));
  // The close event follows each error.
  socket.on('error', () => {});
  socket.on('end', () => socket.end());
  socket.on('close', () => [...answers.values()].forEach(a => a.cancel()));
  return {
    close: () => {
      isClosed = true;
      answers.forEach(answer => answer.destroy());
      write(encodeFrame(FRAME.goAway, lastStream));
      return new Promise(resolve => {
        socket.once('close', resolve);
        setImmediate(() => socket.end(resolve));
      });
    },
  };
}

function createRequest(
  [method, url, rawHeaders]: RequestHead,
  body: Buffer,
  remoteAddress: string | undefined,
): ReceivedRequest {
  const headers: IncomingHttpHeaders = {};
  for (let i = 0; i < rawHeaders.length; i += 2) {
    headers[rawHeaders[i].toLowerCase()] ??= rawHeaders[i + 1];
  }
  const parts = body.length > 0 ? [body] : [];
  return {
    method,
    url,
    headers,
    rawHeaders: rawHeaders as string[],
    complete: true,
    socket: {remoteAddress},
    iterator: () => iterate(parts),
  };
}

async function* iterate(parts: readonly Buffer[]): AsyncGenerator<Buffer> {
  yield* parts;
}
