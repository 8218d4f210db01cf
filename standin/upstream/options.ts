import {parseAddress} from '../../src/model/index.js';
import type {Address, Fencing} from '../../src/model/index.js';

/**
 * Health endpoint mode: `true` is current, `lag` delayed, `lie` always healthy.
 */
export type HealthMode = 'true' | 'lag' | 'lie';

/** Settings of one upstream stand-in. */
export interface UpstreamOptions {
  /** Port on the loopback address; 0 selects a free one. */
  readonly port: number;
  /** Control address of the daemon that receives announcements. */
  readonly announce?: Address;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly fencing: Fencing;
  /** Mean time for which a request occupies its slot. */
  readonly serviceMs: number;
  /** Warm-up time after the start, during which requests take longer. */
  readonly coldMs: number;
  readonly health: HealthMode;
  /**
   * Header with the key; the path's second segment is the key if it is absent.
   */
  readonly keyHeader: string;
  /** Random seed of the service times. */
  readonly seed: number;
  /** File to which executions are appended; none if absent. */
  readonly journal?: string;
}

/** Flags of the binary as parsed by the command line library. */
export type UpstreamFlags = Readonly<
  Record<string, string | number | undefined>
>;

/**
 * Validates flags and applies defaults.
 *
 * @throws {RangeError} when a value is out of its range.
 *
 * @example
 * readOptions({service: 'rota-display', slots: 12}).connections; // 130
 */
export function readOptions(flags: UpstreamFlags): UpstreamOptions {
  const {announce, journal} = flags;
  return {
    port: readNumber(flags, 'port', 0),
    announce: announce ? parseAddress(String(announce)) : undefined,
    service: String(flags['service'] ?? 'service'),
    slots: readNumber(flags, 'slots', 12),
    connections: readNumber(flags, 'connections', 130),
    fencing: readChoice(flags, 'fencing', ['enforced', 'ignored']),
    serviceMs: readNumber(flags, 'service-ms', 2),
    coldMs: readNumber(flags, 'cold-ms', 0),
    health: readChoice(flags, 'health', ['true', 'lag', 'lie']),
    keyHeader: String(flags['key-header'] ?? 'x-key').toLowerCase(),
    seed: readNumber(flags, 'seed', 1),
    journal: journal ? String(journal) : undefined,
  };
}

function readNumber(
  flags: UpstreamFlags,
  name: string,
  defaultValue: number,
): number {
  const value = Number(flags[name] ?? defaultValue);
  if (!(value >= 0))
    throw new RangeError(`--${name}: expected a number of at least 0`);
  return value;
}

function readChoice<T extends string>(
  flags: UpstreamFlags,
  name: string,
  choices: readonly [T, ...T[]],
): T {
  const value = flags[name] ?? choices[0];
  const found = choices.find(choice => choice === value);
  if (!found)
    throw new RangeError(`--${name}: expected one of ${choices.join(', ')}`);
  return found;
}
