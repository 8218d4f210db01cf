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

/** A stored value that is not an accepted configuration. */
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
 * Reads an accepted configuration from its JSON text, as kept on the platform
 * or sent by a peer. Fields that a newer release added are dropped.
 *
 * @throws {StoredError} when the text is not an accepted configuration.
 *
 * @example
 * parseAccepted(formatAccepted(accepted)).version === accepted.version; // true
 */
export function parseAccepted(text: string): AcceptedConfiguration {
  const result = accepted.safeParse(parseJson(text));
  if (result.success) return result.data;
  const {path, message} = result.error.issues[0];
  throw new StoredError(
    `not an accepted configuration: ${path.join('.')}: ${message}`,
  );
}

/**
 * Formats an accepted configuration as the JSON text to keep.
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
    throw new StoredError('not JSON text', {cause: error});
  }
}
