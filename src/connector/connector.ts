import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/**
 * Creates a connector for undici under which a reset connection never ends a
 * response. Undici treats ECONNRESET as the regular end of a response without a
 * length, so a truncated response would appear complete; it is reported as
 * ECONNABORTED instead.
 *
 * @param timeoutMs Time limit for opening a connection, in milliseconds.
 *
 * @example
 * new Pool(origin, {connect: createConnector(300)});
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  // A half-open socket is not closed before its delayed `end` event.
  const connect = buildConnector({timeout: timeoutMs, allowHalfOpen: true});
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.prependListener('error', (reset: NodeJS.ErrnoException) => {
          if (reset.code === 'ECONNRESET') reset.code = 'ECONNABORTED';
        });
        failAtResetEnd(socket);
        delayEndUntilRead(socket);
      }
      callback(...result);
    });
  };
}

/**
 * Destroys the socket with an error in place of its `end` event if the peer has
 * reset the connection. When the last bytes and the reset are found in one poll
 * of a busy process, libuv reports an end of file without reading again.
 *
 * A connection that was reset has no peer address any more; one that the peer
 * has closed keeps it until this side closes it too. Node.js caches the address
 * once it was read, so nothing may read it before.
 */
function failAtResetEnd(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;
  socket.emit = (name: string | symbol, ...args: unknown[]) => {
    const isReset = name === 'end' && socket.remoteAddress === undefined;
    if (!isReset) return emit(name, ...args);
    const reset: NodeJS.ErrnoException = new Error(
      'the connection was reset before the end of the response',
    );
    reset.code = 'ECONNABORTED';
    socket.destroy(reset);
    return true;
  };
}

/**
 * Delays the `end` event of a socket while its reader does not read. Undici throws
 * an error that ends the process if a response without a length ends while its
 * receiver is full.
 */
function delayEndUntilRead(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;
  const read = socket.read.bind(socket);
  let isReading = true;
  let isEndDelayed = false;
  const emitEnd = () => {
    if (!isEndDelayed || socket.destroyed) return;
    isEndDelayed = false;
    emit('end');
  };
  // Undici reads until nothing is left, unless the receiver is full.
  socket.read = (size?: number): unknown => {
    const part: unknown = read(size);
    // Node.js itself reads nothing to fill the buffer of the socket.
    if (size === 0) return part;
    isReading = part === null;
    if (isReading && isEndDelayed) process.nextTick(emitEnd);
    return part;
  };
  socket.emit = (name: string | symbol, ...args: unknown[]) => {
    if (name !== 'end' || isReading) return emit(name, ...args);
    isEndDelayed = true;
    return true;
  };
}
