import {parseAddress} from '../../src/model/index.js';
import type {Address, Fencing} from '../../src/model/index.js';

/** How the health endpoint tells the state: at once, late or always well. */
export type HealthMode = 'true' | 'lag' | 'lie';

/** Settings of one upstream stand-in. */
export interface UpstreamOptions {
  /** Port on the loopback; 0 takes a free one. */
  readonly port: number;
  /** Control address of the daemon to announce to. */
  readonly announce?: Address;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly fencing: Fencing;
  /** Mean time that a request holds its slot, in milliseconds. */
  readonly serviceMs: number;
  /** Time after the start during which requests take longer, in milliseconds. */
  readonly coldMs: number;
  readonly health: HealthMode;
  /** Header of the key; without it the second segment of the path is the key. */
  readonly keyHeader: string;
  /** Seed of the variation of the service time. */
  readonly seed: number;
  /** File to which executions are written; none if absent. */
  readonly journal?: string;
}

/** The flags of the binary as its command line library gives them. */
export type UpstreamFlags = Readonly<
  Record<string, string | number | undefined>
>;

/**
 * Checks flags and fills in what they leave out.
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
  if (!(value >= 0)) throw new RangeError(`--${name} is no number from 0 up`);
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
    throw new RangeError(`--${name} is none of ${choices.join(', ')}`);
  return found;
}
