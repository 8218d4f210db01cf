/**
 * How the local instance is granted its keys.
 *
 * - `heartbeat`: with the responses to its heartbeats.
 * - `call`: by calls from the daemon to the instance.
 */
export const GRANT_METHODS = ['heartbeat', 'call'] as const;
export type GrantMethod = (typeof GRANT_METHODS)[number];

/** Settings of a daemon that runs next to one upstream instance. */
export interface SidecarSettings {
  readonly name: string;
  readonly domain: string;
  /** Service of the local instance. */
  readonly service: string;
  /** Address of the local instance. */
  readonly instance: string;
  /** Address that callers connect to, as `ip:port`. */
  readonly callers: string;
  /** Address that other daemons connect to. */
  readonly peers: string;
  /** Address that readiness checks connect to. */
  readonly ready: string;
  /** Address that the local instance sends heartbeats to. */
  readonly control: string;
  /** Address at which metrics are served. */
  readonly metrics: string;
  /** Address of the store. */
  readonly store: string;
  /** Interval between heartbeats, in seconds. */
  readonly heartbeatS: number;
  /** How the local instance is granted its keys. */
  readonly grants: GrantMethod;
  /**
   * Time after a shutdown announcement of the instance from which it must
   * receive no new requests, in seconds.
   */
  readonly drainS: number;
  /** Time between SIGTERM and SIGKILL, in seconds. */
  readonly graceS: number;
  /** Upper bound for the lease of a key, in seconds. */
  readonly holdLimitS: number;
  /** Largest share of retries among the requests to a service. */
  readonly retryShare: number;
}

/** Valid settings, or every finding that makes them invalid. */
export type SettingsResult =
  {readonly settings: SidecarSettings} | {readonly findings: readonly string[]};

const STRING_FIELDS = [
  'name',
  'domain',
  'service',
  'instance',
  'callers',
  'peers',
  'ready',
  'control',
  'metrics',
  'store',
] as const;

const NUMBER_FIELDS = [
  'heartbeatS',
  'drainS',
  'graceS',
  'holdLimitS',
  'retryShare',
] as const;

/**
 * Validates parsed settings. Each finding names the field that it is about.
 *
 * @example
 * const read = readSidecarSettings(parse(text));
 */
export function readSidecarSettings(value: unknown): SettingsResult {
  const fields = (value ?? {}) as Readonly<Record<string, unknown>>;
  const findings: string[] = [];
  for (const name of STRING_FIELDS) {
    const text = fields[name];
    if (typeof text !== 'string' || text === '') {
      findings.push(`${name}: expected a non-empty string`);
    }
  }
  for (const name of NUMBER_FIELDS) {
    if (!((fields[name] as number) > 0)) {
      findings.push(`${name}: expected a positive number`);
    }
  }
  if (!GRANT_METHODS.some(way => way === fields.grants)) {
    const found = JSON.stringify(fields.grants);
    findings.push(`grants: expected "heartbeat" or "call", got ${found}`);
  }
  if (findings.length > 0) return {findings};
  return {settings: value as SidecarSettings};
}
