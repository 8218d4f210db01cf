import {z} from 'zod';
import type {Configuration, Limits, Service} from '../model/index.js';
import {
  address,
  milliseconds,
  name,
  path,
  powerOfTwo,
  share,
} from './fields.js';

/** Largest number of slices of a service. */
const SLICES_MAX = 65_536;

/** Largest number of platform objects that hold the slices of a service. */
const CHUNKS_MAX = 1024;

/** Number of slices of a keyed service that states none. */
export const SLICES_DEFAULT = 64;

const CHUNKS_DEFAULT = 8;

const SUCCESSORS_DEFAULT = 2;

const KEY_SEGMENT = '{key}';

const UNKEYED_DEFAULTS = {slices: 1, chunks: 1, successors: 0} as const;

/** Schema of the place of a key. */
export const keySource = z
  .strictObject({
    path: path
      .refine(hasOneKey, 'expected a path with exactly one "{key}" segment')
      .optional()
      .describe('Path with one {key} segment, such as "/rota/{key}".'),
    header: z
      .string()
      .regex(/^[a-z0-9-]+$/, 'expected a header name in lower case')
      .refine(isForwarded, 'headers of this prefix are stripped from requests')
      .optional()
      .describe('Name of a request header, in lower case.'),
  })
  .refine(
    key => (key.path === undefined) !== (key.header === undefined),
    'expected exactly one of "path" and "header"',
  );

/** Schema of a handover. */
export const handover = z.strictObject({
  oldAddress: address.describe('Address that still serves the other keys.'),
  share: share.describe('Share of the keys that vanillaspool serves, 0 to 1.'),
  prefixes: z
    .array(z.string().min(1))
    .default([])
    .describe('Key prefixes that vanillaspool serves whatever the share.'),
});

/** Schema of one service of the merged declarations. */
export const serviceSchema = z.strictObject({
  pathPrefix: path.describe('Requests with this path prefix belong here.'),
  key: keySource
    .optional()
    .describe('Where the key of a request is found; absent if unkeyed.'),
  slices: powerOfTwo(SLICES_MAX)
    .optional()
    .describe('Number of slices of the keys, a power of two; 64 if absent.'),
  chunks: powerOfTwo(CHUNKS_MAX)
    .optional()
    .describe('Number of platform objects for the slices; 8 if absent.'),
  priority: z
    .int()
    .min(0)
    .max(1000)
    .default(100)
    .describe('Requests of a lower number are admitted first.'),
  deadlineMs: milliseconds
    .default(5000)
    .describe('Time limit of a request that states none, in milliseconds.'),
  fencing: z
    .enum(['enforced', 'ignored'])
    .default('ignored')
    .describe('Whether the upstream checks the epoch and end of a grant.'),
  successors: z
    .int()
    .min(0)
    .max(8)
    .optional()
    .describe('Standing successors recorded for each slice; 2 if absent.'),
  handover: handover
    .optional()
    .describe('What the old address still serves; nothing if absent.'),
});

/** Schema of the limits on callers. */
export const limits = z.strictObject({
  headerBytes: z.int().min(256).default(16_384),
  bodyBytes: z.int().min(0).default(67_108_864),
  connections: z.int().min(1).default(1024),
  headerTimeoutMs: milliseconds.default(5000),
  bodyTimeoutMs: milliseconds.default(60_000),
  queue: z.int().min(0).default(256),
  retryShare: share.default(0.1),
});

/** Limits in force before a configuration says others. */
export const DEFAULT_LIMITS: Limits = limits.parse({});

const weight = z.number().min(0).max(1000).default(1);

/** Schema of the weights of placement. */
export const weights = z
  .strictObject({imbalance: weight, churn: weight, unavailable: weight})
  .refine(
    all => all.imbalance + all.churn + all.unavailable > 0,
    'expected at least one weight above 0',
  );

/** Schema of the merged declarations of one site. */
export const siteSchema = z.strictObject({
  site: name.describe('Name of the site.'),
  services: z
    .record(name, serviceSchema)
    .refine(all => Object.keys(all).length > 0, 'expected at least one service')
    .describe('Services by name.'),
  limits: limits.prefault({}).describe('Limits on what callers may send.'),
  weights: weights
    .prefault({})
    .describe('Relative importance of the measures of placement.'),
});

/** One service as declared, by the schema. */
export type ServiceDeclaration = z.output<typeof serviceSchema>;

/** The merged declarations of one site, by the schema. */
export type SiteDeclaration = z.output<typeof siteSchema>;

/**
 * Returns the effective configuration of a site, with its services sorted by
 * name.
 *
 * @example
 * configurationOf(siteSchema.parse(merged)).services[0].slices; // 64
 */
export function configurationOf(site: SiteDeclaration): Configuration {
  const services = Object.entries(site.services)
    .map(([serviceName, service]) => serviceOf(serviceName, service))
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  return {...site, services};
}

function serviceOf(serviceName: string, service: ServiceDeclaration): Service {
  const defaults = service.key ? keyedDefaults(service) : UNKEYED_DEFAULTS;
  return {name: serviceName, ...defaults, ...service};
}

function keyedDefaults(service: ServiceDeclaration) {
  const slices = service.slices ?? SLICES_DEFAULT;
  const chunks = Math.min(CHUNKS_DEFAULT, slices);
  return {slices, chunks, successors: SUCCESSORS_DEFAULT};
}

function hasOneKey(pattern: string): boolean {
  const segments = pattern.split('/');
  const keys = segments.filter(segment => segment === KEY_SEGMENT);
  const braces = pattern.match(/[{}]/g) ?? [];
  return keys.length === 1 && braces.length === 2;
}

function isForwarded(header: string): boolean {
  return !header.startsWith('vanillaspool-');
}
