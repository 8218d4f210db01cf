/** Kinds of frames on a channel. */
export const FRAME = {
  /** From the client: a request with its whole body. */
  request: 1,
  /** From the client: the answer to a request is no longer wanted. */
  cancel: 2,
  /** From the client: bytes of an answer that were passed on. */
  credit: 3,
  /** From the client: asks for a pong. */
  ping: 4,
  /** From the server: status and headers of an answer. */
  head: 5,
  /** From the server: a part of the body of an answer. */
  data: 6,
  /** From the server: the last part of the body; the answer is complete. */
  end: 7,
  /** From the server: the answer breaks off here. */
  reset: 8,
  /** From the server: the answer to a ping. */
  pong: 9,
  /**
   * From the server: it reads no further requests. Requests with a higher
   * stream number than that of the frame were not read.
   */
  goAway: 10,
} as const;

/** Kind of a frame. */
export type FrameKind = (typeof FRAME)[keyof typeof FRAME];

/** A frame as it was received. */
export interface Frame {
  readonly kind: number;
  /** Number of the request that it belongs to; 0 if it belongs to none. */
  readonly stream: number;
  readonly payload: Buffer;
}

/** Length, kind and stream precede the payload. */
const HEADER_BYTES = 9;
const KIND_OFFSET = 4;
const STREAM_OFFSET = 5;

/** Longest frame that is accepted: a buffered body and its head. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

const EMPTY = Buffer.alloc(0);

/**
 * Encodes a frame.
 *
 * @example
 * socket.write(encodeFrame(FRAME.cancel, 7));
 */
export function encodeFrame(
  kind: FrameKind,
  stream: number,
  payload: Buffer = EMPTY,
): Buffer {
  const frame = allocateFrame(kind, stream, payload.length);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

function allocateFrame(
  kind: FrameKind,
  stream: number,
  payloadBytes: number,
): Buffer {
  const length = HEADER_BYTES + payloadBytes;
  const frame = Buffer.allocUnsafe(length);
  frame.writeUInt32LE(length, 0);
  frame[KIND_OFFSET] = kind;
  frame.writeUInt32LE(stream, STREAM_OFFSET);
  return frame;
}

/** Reads frames from the bytes of a connection, however these are divided. */
export type FrameReader = (bytes: Buffer) => void;

/**
 * Creates a reader of frames.
 *
 * @throws {RangeError} from the reader if a length is out of range.
 *
 * @example
 * const read = createFrameReader(({kind, stream}) => console.log(kind, stream));
 * socket.on('data', read);
 */
export function createFrameReader(
  onFrame: (frame: Frame) => void,
): FrameReader {
  let rest: Buffer = EMPTY;
  let parts: Buffer[] = [];
  let missingBytes = 0;
  return bytes => {
    // A frame in many parts is joined once, when it is complete.
    if (bytes.length < missingBytes) {
      parts.push(bytes);
      missingBytes -= bytes.length;
      return;
    }
    if (parts.length > 0) rest = Buffer.concat([rest, ...parts, bytes]);
    else rest = rest.length > 0 ? Buffer.concat([rest, bytes]) : bytes;
    parts = [];
    missingBytes = 0;
    let offset = 0;
    while (rest.length - offset >= HEADER_BYTES) {
      const length = rest.readUInt32LE(offset);
      if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
        throw new RangeError(
          `frame length: expected ${HEADER_BYTES} to ${MAX_FRAME_BYTES}, found ${length}`,
        );
      }
      const available = rest.length - offset;
      if (available < length) {
        missingBytes = length - available;
        break;
      }
      onFrame({
        kind: rest[offset + KIND_OFFSET],
        stream: rest.readUInt32LE(offset + STREAM_OFFSET),
        payload: rest.subarray(offset + HEADER_BYTES, offset + length),
      });
      offset += length;
    }
    rest = offset === rest.length ? EMPTY : rest.subarray(offset);
  };
}

/** Head of a request: method, path, headers. */
export type RequestHead = readonly [
  method: string,
  path: string,
  headers: readonly string[],
];

/**
 * Head of an answer: status, headers and, after the body, trailers. An interim
 * answer has a status below 200.
 */
export type AnswerHead = readonly [status: number, headers: readonly string[]];

/**
 * Encodes a frame whose payload is a head, followed by other bytes.
 *
 * @example
 * encodeHeadFrame(FRAME.request, 1, ['GET', '/', []], body);
 */
export function encodeHeadFrame(
  kind: FrameKind,
  stream: number,
  head: RequestHead | AnswerHead,
  rest: Buffer = EMPTY,
): Buffer {
  const text = JSON.stringify(head);
  const headBytes = Buffer.byteLength(text);
  const payloadBytes = HEAD_LENGTH_BYTES + headBytes + rest.length;
  const frame = allocateFrame(kind, stream, payloadBytes);
  frame.writeUInt32LE(headBytes, HEADER_BYTES);
  const textOffset = HEADER_BYTES + HEAD_LENGTH_BYTES;
  frame.write(text, textOffset);
  if (rest.length > 0) rest.copy(frame, textOffset + headBytes);
  return frame;
}

const HEAD_LENGTH_BYTES = 4;

/**
 * Decodes a head and returns it with the bytes that follow it.
 *
 * @throws {RangeError|SyntaxError} if the payload has no such head.
 *
 * @example
 * const [[method, path], body] = decodeHead<RequestHead>(frame.payload);
 */
export function decodeHead<T extends RequestHead | AnswerHead>(
  payload: Buffer,
): readonly [head: T, rest: Buffer] {
  const end = payload.readUInt32LE(0) + HEAD_LENGTH_BYTES;
  if (end > payload.length) {
    throw new RangeError(
      `head of a frame: expected ${end} bytes, found ${payload.length}`,
    );
  }
  const head = JSON.parse(
    payload.toString('utf8', HEAD_LENGTH_BYTES, end),
  ) as T;
  return [head, payload.subarray(end)];
}
