import {buildConnector} from 'undici';

/**
 * Creates a connector for undici that keeps a broken answer from looking
 * complete: undici takes ECONNRESET for the end of an answer without a length,
 * so a reset is reported under another code.
 *
 * @param timeoutMs Time limit for a new connection.
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
