/**
 * How instances get keys.
 *
 * - `heartbeat`: they fetch them with the answers to their heartbeats.
 * - `call`: they are called.
 */
export const GRANT_METHODS = ['heartbeat', 'call'] as const;
export type GrantMethod = (typeof GRANT_METHODS)[number];

/** Settings of a daemon beside one upstream instance. */
export interface SidecarSettings {
  readonly name: string;
  readonly domain: string;
  /** Service of the instance beside. */
  readonly service: string;
  /** Address of the instance beside. */
  readonly instance: string;
  /** Address for callers, as `ip:port`. */
  readonly callers: string;
  /** Address for other daemons. */
  readonly peers: string;
  /** Address for readiness checks. */
  readonly ready: string;
  /** Address for the heartbeats of the instance beside. */
  readonly control: string;
  /** Address at which metrics are served. */
  readonly metrics: string;
  /** Address of the store. */
  readonly store: string;
  /** Interval between heartbeats, in seconds. */
  readonly heartbeatS: number;
  /** How the instance beside gets its keys. */
  readonly grants: GrantMethod;
  /** Time after the announcement of an end in which no new request may arrive. */
  readonly drainS: number;
  /** Time between SIGTERM and SIGKILL, in seconds. */
  readonly graceS: number;
  /** Longest hold of a key, in seconds. */
  readonly holdLimitS: number;
  /** Share of repeats among the requests to a service. */
  readonly retryShare: number;
}

/** Settings, or every reason why they can't be used. */
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
 * Checks parsed settings. Findings are collected with their place.
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
      findings.push(`${name}: a text is required`);
    }
  }
  for (const name of NUMBER_FIELDS) {
    if (!((fields[name] as number) > 0)) {
      findings.push(`${name}: a positive number is required`);
    }
  }
  if (!GRANT_METHODS.some(way => way === fields.grants)) {
    const found = JSON.stringify(fields.grants);
    findings.push(`grants: ${found} is neither "heartbeat" nor "call"`);
  }
  if (findings.length > 0) return {findings};
  return {settings: value as SidecarSettings};
}
