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
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.prependListener('error', (reset: NodeJS.ErrnoException) => {
          if (reset.code === 'ECONNRESET') reset.code = 'ECONNABORTED';
        });
        failAtResetEnd(socket);
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
