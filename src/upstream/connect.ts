import {buildConnector} from 'undici';

/**
 * Creates a connector for undici that reports ECONNRESET as ECONNABORTED. Undici
 * treats ECONNRESET as the regular end of a response without a length, so a
 * truncated response would appear complete.
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
      }
      callback(...result);
    });
  };
}
