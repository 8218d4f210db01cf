import {write as writeFile, writeSync} from 'node:fs';
import log from 'loglevel';
import type {EventKind, Log} from './log.js';

/** Bounds on the volume of a log. */
export interface LogBounds {
  /** Lines of level `debug` in a second; further ones are counted and left out. */
  readonly debugPerSecond: number;
  /** Other lines in a second. */
  readonly linesPerSecond: number;
  /** Bytes that wait for a reader; further lines are counted and left out. */
  readonly bufferedBytes: number;
}

/** The usual bounds. */
export const LOG_BOUNDS: LogBounds = {
  debugPerSecond: 4,
  linesPerSecond: 60,
  bufferedBytes: 256 * 1024,
};

/** Writes bytes without blocking and calls back when it is done. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** A log that never blocks its caller. */
export interface BoundedLog {
  readonly log: Log;
  /** Writes what waits, before the process ends. */
  readonly flush: () => void;
}

/** Interval between two writes, in milliseconds. */
const WRITE_INTERVAL_MS = 200;

const STANDARD_OUTPUT = 1;

/**
 * Creates a log that writes JSON lines in batches. Its volume is bounded: a
 * second holds a number of lines of each kind, and what a slow reader has not
 * taken waits in bounded memory. A line says how many were left out.
 *
 * @param dropped The event of that line.
 *
 * @example
 * const {log, flush} = createBoundedLog('rota-1', DROPPED, LOG_BOUNDS);
 */
export function createBoundedLog(
  instance: string,
  dropped: EventKind,
  bounds: LogBounds,
  writeBytes: WriteBytes = writeOutput,
): BoundedLog {
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let second = 0;
  let debugLines = 0;
  let lines = 0;
  let droppedLines = 0;

  const logger = log.getLogger(`vanillaspool ${instance}`);
  logger.methodFactory = () => (line: string) => {
    buffered.push(line);
    bufferedBytes += line.length;
    timer ??= setTimeout(writeBuffered, WRITE_INTERVAL_MS).unref();
  };
  logger.setLevel('debug', false);

  const format = (kind: EventKind, fields: object | undefined) => {
    const time = new Date().toISOString();
    const {number, level, message} = kind;
    const line = {time, level, event: number, message, instance, ...fields};
    return JSON.stringify(line) + '\n';
  };

  const isOverLimit = (kind: EventKind) => {
    const now = Math.floor(performance.now() / 1000);
    if (now !== second) {
      second = now;
      debugLines = 0;
      lines = 0;
      if (droppedLines > 0) logger.warn(format(dropped, {lines: droppedLines}));
      droppedLines = 0;
    }
    if (bufferedBytes > bounds.bufferedBytes) return true;
    if (kind.level === 'debug') {
      debugLines += 1;
      return debugLines > bounds.debugPerSecond;
    }
    lines += 1;
    return lines > bounds.linesPerSecond;
  };

  const writeBuffered = () => {
    timer = undefined;
    if (isWriting || buffered.length === 0) return;
    const bytes = Buffer.from(buffered.join(''));
    buffered = [];
    bufferedBytes = 0;
    send(bytes);
  };

  const send = (bytes: Buffer) => {
    isWriting = true;
    writeBytes(bytes, (error, written) => {
      isWriting = false;
      if (error) {
        // Nobody can be told but the reader, should it come back.
        droppedLines += 1;
        return;
      }
      if (written < bytes.length) return send(bytes.subarray(written));
      if (buffered.length > 0) timer ??= setTimeout(writeBuffered, 0).unref();
    });
  };

  return {
    log: (kind, fields) => {
      if (isOverLimit(kind)) {
        droppedLines += 1;
        return;
      }
      logger[kind.level](format(kind, fields));
    },
    flush: () => {
      // What is being written can't be waited for: its reader may be stalled.
      if (isWriting) return;
      if (droppedLines > 0)
        buffered.push(format(dropped, {lines: droppedLines}));
      droppedLines = 0;
      if (buffered.length > 0) writeSync(STANDARD_OUTPUT, buffered.join(''));
      buffered = [];
    },
  };
}

function writeOutput(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  writeFile(STANDARD_OUTPUT, bytes, done);
}
