import type {Socket} from 'node:net';

/** Writes frames to a connection. */
export type FrameWriter = (frame: Buffer) => void;

/**
 * Creates a writer that joins the frames of one turn of the event loop, so that
 * they cost one system call.
 *
 * @example
 * const write = createFrameWriter(socket);
 * write(encodeFrame(FRAME.ping, 0));
 */
export function createFrameWriter(socket: Socket): FrameWriter {
  let frames: Buffer[] = [];
  const flush = () => {
    const joined = frames.length === 1 ? frames[0] : Buffer.concat(frames);
    frames = [];
    if (!socket.destroyed && socket.writable) socket.write(joined);
  };
  return frame => {
    if (frames.length === 0) setImmediate(flush);
    frames.push(frame);
  };
}
