import ModernError from 'modern-errors';
import {z} from 'zod';
import type {AcceptedConfiguration} from '../model/index.js';
import {
  handover,
  keySource,
  limits,
  serviceSchema,
  siteSchema,
  weights,
} from './declaration.js';

/** Error for a stored value that is not a valid accepted configuration. */
export const StoredError = ModernError.subclass('StoredError');

const service = z.object({
  ...serviceSchema.shape,
  name: z.string(),
  key: keySource.strip().optional(),
  handover: handover.strip().optional(),
  slices: z.int().min(1),
  chunks: z.int().min(1),
  successors: z.int().min(0),
});

const site = z.object({
  site: siteSchema.shape.site,
  services: z.array(service),
  limits: limits.strip(),
  weights: weights.strip(),
});

const accepted = z.object({
  version: z.int().min(1),
  change: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  sites: z.array(site),
});

/**
 * Parses an accepted configuration from JSON text stored on the platform or
 * sent by a peer. Drops unknown fields, which a newer release may have added.
 *
 * @throws {StoredError} when the text is not a valid accepted configuration.
 *
 * @example
 * parseAccepted(formatAccepted(accepted)).version === accepted.version; // true
 */
export function parseAccepted(text: string): AcceptedConfiguration {
  const result = accepted.safeParse(parseJson(text));
  if (result.success) return result.data;
  const {path, message} = result.error.issues[0];
  throw new StoredError(
    `stored configuration is invalid at ${path.join('.')}: ${message}`,
  );
}

/**
 * Formats an accepted configuration as JSON text for storage.
 *
 * @example
 * await platform.put(CONFIGURATION_KEY, formatAccepted(accepted), version);
 */
export function formatAccepted(configuration: AcceptedConfiguration): string {
  return JSON.stringify(configuration);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new StoredError('stored configuration is not valid JSON', {
      cause: error,
    });
  }
}
