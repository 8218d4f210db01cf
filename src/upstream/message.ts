import type {IncomingHttpHeaders} from 'node:http';

/**
 * A request as a server received it; the part of `IncomingMessage` that
 * handlers use.
 */
export interface ReceivedRequest {
  readonly method?: string;
  readonly url?: string;
  readonly headers: IncomingHttpHeaders;
  /** Alternating names and values. */
  readonly rawHeaders: string[];
  /** The whole request has arrived. */
  readonly complete: boolean;
  readonly socket: {readonly remoteAddress?: string};
  /** Iterates over the body; can be called once. */
  readonly iterator: (options?: {
    readonly destroyOnReturn?: boolean;
  }) => AsyncIterator<Buffer>;
}

/** Writes a response; the part of `ServerResponse` that handlers use. */
export interface ResponseWriter {
  /**
   * Whether a body without a length is sent in chunks; not to a client of HTTP/1.0,
   * which would take the end of the connection for the end of the body.
   */
  readonly useChunkedEncodingByDefault: boolean;
  shouldKeepAlive: boolean;
  readonly headersSent: boolean;
  readonly writableEnded: boolean;
  /** The whole response was passed to the connection. */
  readonly writableFinished: boolean;
  readonly destroyed: boolean;
  readonly socket: {readonly resetAndDestroy: () => unknown} | null;
  writeHead(status: number, headers: string[]): unknown;
  writeEarlyHints(hints: {readonly link: string[]}): void;
  addTrailers(trailers: readonly [string, string][]): void;
  /** Returns false if the next part should wait for `drain`. */
  write(part: Buffer): boolean;
  end(part?: Buffer | string): unknown;
  destroy(): unknown;
  once(event: 'close' | 'drain', listener: () => void): unknown;
  off(event: 'drain', listener: () => void): unknown;
}
