import {parseAddress} from '../model/index.js';
import {parseKind} from './kind.js';
import type {LoadOptions} from './run.js';

/** The flags of the binary as its command line library gives them. */
export type LoadFlags = Readonly<
  Record<string, string | number | readonly string[] | undefined>
>;

/**
 * Checks flags and turns them into options.
 *
 * @throws {RangeError} when a flag is out of its range.
 *
 * @example
 * readLoadOptions({targets: '127.0.0.1:80', request: 'GET /rota/{key}', rate: 100});
 */
export function readLoadOptions(flags: LoadFlags): LoadOptions {
  const deadlineMs = readCount(flags, 'deadline-ms', 5000, 1);
  return {
    targets: listOf(flags['targets'])
      .flatMap(text => text.split(','))
      .map(parseAddress),
    deadlineMs,
    attemptMs: readCount(flags, 'attempt-ms', deadlineMs, 1),
    attempts: readCount(flags, 'attempts', 1, 1),
    connections: readCount(flags, 'connections', 32, 1),
    hints: readCount(flags, 'hints', 0, 0),
    hintPrefix: readCount(flags, 'hint-prefix', 256, 1),
    workload: {
      run: String(flags['run'] ?? `load-${process.pid}`),
      kinds: listOf(flags['request']).map(parseKind),
      requestsPerSecond: readCount(flags, 'rate', 100, 1),
      seconds: readCount(flags, 'seconds', 10, 1),
      keys: readCount(flags, 'keys', 1000, 1),
      skew: Number(flags['zipf'] ?? 1),
      seed: readCount(flags, 'seed', 1, 0),
    },
  };
}

function listOf(
  value: string | number | readonly string[] | undefined,
): readonly string[] {
  if (value === undefined) return [];
  return typeof value === 'object' ? value : [String(value)];
}

function readCount(
  flags: LoadFlags,
  name: string,
  fallback: number,
  minimum: number,
): number {
  const value = Number(flags[name] ?? fallback);
  if (!Number.isInteger(value) || value < minimum) {
    throw new RangeError(`--${name} is no integer from ${minimum} up`);
  }
  return value;
}
