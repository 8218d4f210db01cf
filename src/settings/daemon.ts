import {isIP} from 'node:net';
import {z} from 'zod';
import type {Address} from '../model/index.js';
import type {Level} from '../telemetry/index.js';
import {checkTree} from './check.js';
import {address, milliseconds, name, share} from './fields.js';
import {findingAt, sortFindings, type Finding} from './finding.js';
import {
  parseText,
  positionOf,
  treeAt,
  withoutField,
  type Path,
  type Tree,
} from './tree.js';

/** A shared key that authenticates peer calls. */
export interface Secret {
  readonly id: string;
  readonly key: string;
}

/** Timing of the lease that an instance holds. */
export interface LeaseTiming {
  /** Time from sending a renewal to the lapse of the lease. */
  readonly durationMs: number;
  /** Time between two renewals. */
  readonly renewMs: number;
  /** Largest difference of clock rates between two instances, as a share. */
  readonly driftShare: number;
  /** Number of peers that observe the renewals. */
  readonly witnesses: number;
}

/** Where traces go and how many requests are traced. */
export interface TraceExport {
  /** URL of an OTLP receiver over HTTP, by IP number. */
  readonly otlp: string;
  /** Share of requests that are traced when a caller does not say, 0 to 1. */
  readonly share: number;
}

/** Settings of one daemon. */
export interface Settings {
  readonly instance: string;
  readonly site: string;
  readonly region: string;
  /** Failure domain of the instance. */
  readonly domain: string;
  /** Address at which callers send requests. */
  readonly callers: Address;
  /** Address of peer calls over TCP and of heartbeats over UDP. */
  readonly peers: Address;
  /** Address of operators, of metrics and of the upstream's announcements. */
  readonly control: Address;
  readonly platform: Address;
  /** Peer addresses of other daemons, for a start while the platform is away. */
  readonly seeds: readonly Address[];
  /** The first secret signs; each of them verifies. */
  readonly secrets: readonly Secret[];
  readonly lease: LeaseTiming;
  readonly logLevel: Level;
  readonly trace?: TraceExport;
  /** Time limit of a graceful shutdown. */
  readonly shutdownMs: number;
}

/** The outcome of loading daemon settings. */
export type LoadedSettings =
  | {readonly kind: 'loaded'; readonly settings: Settings}
  | {readonly kind: 'rejected'; readonly findings: readonly Finding[]};

/** Shortest key of a secret, in characters. */
const SECRET_KEY_CHARS_MIN = 16;

const LEASE_DURATION_DEFAULT_MS = 450;

const LEASE_RENEW_DEFAULT_MS = 150;

const SHUTDOWN_DEFAULT_MS = 10_000;

const secret = z.strictObject({
  id: name,
  key: z.string().min(SECRET_KEY_CHARS_MIN),
});

const lease = z.strictObject({
  durationMs: milliseconds
    .default(LEASE_DURATION_DEFAULT_MS)
    .describe('Milliseconds from sending a renewal to the lapse of the lease.'),
  renewMs: milliseconds
    .default(LEASE_RENEW_DEFAULT_MS)
    .describe('Milliseconds between two renewals.'),
  driftShare: z
    .number()
    .min(0)
    .max(0.2)
    .default(0.02)
    .describe('Largest difference of clock rates, as a share.'),
  witnesses: z
    .int()
    .min(1)
    .max(9)
    .refine(count => count % 2 === 1, 'expected an odd number')
    .default(3)
    .describe('Number of peers that observe the renewals.'),
});

const trace = z.strictObject({
  otlp: z
    .string()
    .refine(isUrlByIp, 'expected an http URL by IP number')
    .describe('URL of an OTLP receiver over HTTP, by IP number.'),
  share: share.default(0.01).describe('Share of requests traced, 0 to 1.'),
});

/** Schema of a daemon settings file. */
export const settingsSchema = z.strictObject({
  instance: name.describe('Name of this instance; unique in the fleet.'),
  site: name.describe('Site whose configuration this daemon follows.'),
  region: name.describe('Region of the instance.'),
  domain: name.describe('Failure domain of the instance.'),
  callers: address.describe('Address at which callers send requests.'),
  peers: address.describe('Address of peer calls (TCP) and heartbeats (UDP).'),
  control: address.describe('Address of operators, metrics and announcements.'),
  platform: address.describe('Address of the platform object API.'),
  seeds: z
    .array(address)
    .default([])
    .describe('Peer addresses for a start while the platform is away.'),
  secrets: z
    .array(secret)
    .min(1)
    .describe('Keys of peer calls: the first signs, each verifies.'),
  lease: lease.prefault({}).describe('Timing of the lease.'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Lowest severity of the events that are logged.'),
  trace: trace.optional().describe('Export of traces; none if absent.'),
  shutdownMs: milliseconds
    .default(SHUTDOWN_DEFAULT_MS)
    .describe('Time limit of a graceful shutdown, in milliseconds.'),
});

/**
 * Loads the settings of a daemon from JSON with comments. All findings are
 * reported together.
 *
 * @param file Name of the file, for the findings.
 *
 * @example
 * const loaded = loadSettings('vanillaspoold.jsonc', text);
 * if (loaded.kind === 'rejected') loaded.findings.map(formatFinding);
 */
export function loadSettings(file: string, text: string): LoadedSettings {
  const {tree: root, findings: syntax} = parseText(file, text);
  const tree = root && withoutField(root, '$schema');
  if (!tree) return {kind: 'rejected', findings: sortFindings(syntax)};
  const checked = checkTree<Settings>(settingsSchema, tree);
  const findings = [...syntax, ...checked.findings, ...crossFindings(tree)];
  if (findings.length > 0 || !checked.value) {
    return {kind: 'rejected', findings: sortFindings(findings)};
  }
  return {kind: 'loaded', settings: checked.value};
}

function crossFindings(tree: Tree): readonly Finding[] {
  return [
    ...duplicateAddresses(tree),
    ...renewalFindings(tree),
    ...duplicateSecrets(tree),
  ];
}

function duplicateAddresses(tree: Tree): readonly Finding[] {
  const findings: Finding[] = [];
  const fieldByAddress = new Map<string, string>();
  for (const field of ['callers', 'peers', 'control', 'platform']) {
    const parsed = readAt(address, tree, [field]);
    if (!parsed) continue;
    const text = JSON.stringify(parsed);
    const other = fieldByAddress.get(text);
    if (other) {
      const message = `"${field}" and "${other}" name the same address`;
      findings.push(findingAt(positionOf(tree, [field]), message));
    }
    fieldByAddress.set(text, field);
  }
  return findings;
}

function renewalFindings(tree: Tree): readonly Finding[] {
  const timing = (field: string) =>
    readAt(milliseconds, tree, ['lease', field]);
  const duration = timing('durationMs') ?? LEASE_DURATION_DEFAULT_MS;
  const renew = timing('renewMs') ?? LEASE_RENEW_DEFAULT_MS;
  if (2 * renew <= duration) return [];
  const message = 'renewMs is more than half of durationMs';
  const position = positionOf(tree, ['lease', 'renewMs']);
  return [findingAt(position, message, 'one lost renewal would end the lease')];
}

function duplicateSecrets(tree: Tree): readonly Finding[] {
  const secrets = treeAt(tree, ['secrets']);
  if (secrets?.kind !== 'list') return [];
  const seen = new Set<string>();
  return secrets.items.flatMap((_, index) => {
    const id = readAt(name, tree, ['secrets', index, 'id']);
    if (id === undefined) return [];
    const repeated = seen.has(id);
    seen.add(id);
    const position = positionOf(tree, ['secrets', index, 'id']);
    return repeated ? [findingAt(position, `secret "${id}" stands twice`)] : [];
  });
}

function readAt<T>(
  schema: z.ZodType<T>,
  tree: Tree,
  path: Path,
): T | undefined {
  const part = treeAt(tree, path);
  return part && checkTree(schema, part).value;
}

function isUrlByIp(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {protocol, hostname} = new URL(text);
  return protocol === 'http:' && isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
}
