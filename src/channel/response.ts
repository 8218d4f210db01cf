import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import type {ResponseWriter} from '../upstream/index.js';
import {FRAME, encodeFrame, encodeHeadFrame} from './frame.js';
import {WINDOW_BYTES} from './window.js';
import type {FrameWriter} from './writer.js';

/** The answer to a request on a channel, written as by a `ServerResponse`. */
export class ChannelResponse extends EventEmitter implements ResponseWriter {
  headersSent = false;
  writableEnded = false;
  writableFinished = false;
  destroyed = false;
  readonly useChunkedEncodingByDefault = true;
  shouldKeepAlive = true;
  readonly socket = {resetAndDestroy: () => this.destroy()};
  readonly #stream: number;
  readonly #connection: Socket;
  readonly #write: FrameWriter;
  #credit = WINDOW_BYTES;
  #isWaiting = false;
  #trailers: string[] = [];

  constructor(stream: number, connection: Socket, write: FrameWriter) {
    super();
    this.#stream = stream;
    this.#connection = connection;
    this.#write = write;
  }

  writeHead(status: number, headers: readonly string[]): void {
    if (this.#isOver()) return;
    this.headersSent = true;
    const framing = hasLength(headers) ? [] : ['Transfer-Encoding', 'chunked'];
    const head = [status, [...headers, ...framing]] as const;
    this.#write(encodeHeadFrame(FRAME.head, this.#stream, head));
  }

  writeEarlyHints({link}: {readonly link: readonly string[]}): void {
    if (this.#isOver()) return;
    const headers = link.flatMap(value => ['Link', value]);
    const head = [EARLY_HINTS_STATUS, headers] as const;
    this.#write(encodeHeadFrame(FRAME.head, this.#stream, head));
  }

  addTrailers(trailers: readonly [string, string][]): void {
    this.#trailers = trailers.flatMap(([name, value]) => [name, value]);
  }

  write(part: Buffer): boolean {
    if (this.#isOver()) return true;
    this.#write(encodeFrame(FRAME.data, this.#stream, part));
    this.#credit -= part.length;
    this.#isWaiting = this.#credit <= 0 || this.#connection.writableNeedDrain;
    return !this.#isWaiting;
  }

  end(part: Buffer | string = ''): void {
    if (this.#isOver()) return;
    this.writableEnded = true;
    const head = [0, this.#trailers] as const;
    const last = typeof part === 'string' ? Buffer.from(part) : part;
    this.#write(encodeHeadFrame(FRAME.end, this.#stream, head, last));
    this.writableFinished = true;
    this.#close();
  }

  /** Breaks the answer off, so that it does not appear complete. */
  destroy(): void {
    if (this.#isOver()) return;
    this.#write(encodeFrame(FRAME.reset, this.#stream));
    this.#close();
  }

  /** Ends the answer without a frame, as its client does not want it. */
  cancel(): void {
    if (!this.#isOver()) this.#close();
  }

  addCredit(bytes: number): void {
    this.#credit += bytes;
    this.resume();
  }

  /** Emits `drain` if the writer waits and may go on. */
  resume(): void {
    if (!this.#isWaiting || this.#credit <= 0) return;
    if (this.#connection.writableNeedDrain) return;
    this.#isWaiting = false;
    this.emit('drain');
  }

  #isOver(): boolean {
    return this.destroyed || this.writableEnded;
  }

  #close(): void {
    this.destroyed = true;
    process.nextTick(() => this.emit('close'));
  }
}

const EARLY_HINTS_STATUS = 103;

function hasLength(headers: readonly string[]): boolean {
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i].toLowerCase() === 'content-length') return true;
  }
  return false;
}
