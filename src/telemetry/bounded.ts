import {write as writeFile, writeSync} from 'node:fs';
import log from 'loglevel';
import type {EventKind, Log} from './log.js';

/** Bounds on the volume of a log. */
export interface LogBounds {
  /**
   * Limit on lines of level `debug` per second; further ones are counted and
   * dropped.
   */
  readonly debugPerSecond: number;
  /** Limit on other lines per second. */
  readonly linesPerSecond: number;
  /**
   * Limit on bytes buffered for a slow reader; further lines are counted and
   * dropped.
   */
  readonly bufferedBytes: number;
}

/** Default bounds. */
export const LOG_BOUNDS: LogBounds = {
  debugPerSecond: 4,
  linesPerSecond: 60,
  bufferedBytes: 256 * 1024,
};

/** Writes bytes without blocking and calls `done` afterwards. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** A log that never blocks its caller. */
export interface BoundedLog {
  readonly log: Log;
  /** Writes the buffered lines synchronously, before the process exits. */
  readonly flush: () => void;
}

/** Interval at which buffered lines are written. */
const WRITE_INTERVAL_MS = 200;

const STANDARD_OUTPUT = 1;

/**
 * Creates a log that writes JSON lines in batches. It limits the lines per
 * second and the memory that buffers lines for a slow reader. A `dropped` event
 * reports how many lines were dropped.
 *
 * @param dropped Event that reports the number of dropped lines.
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
    if (kind.isPeriodic) return false;
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
        // The only way to report a failed write is a later line on the same
        // output.
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
      // Does not wait for a write in progress, because its reader may be
      // stalled.
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
