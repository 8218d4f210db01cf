import {isIP} from 'node:net';
import {z} from 'zod';
import type {Address} from '../model/index.js';
import {parseAddress} from '../model/index.js';

/** Highest TCP or UDP port. */
const PORT_MAX = 65_535;

const ADDRESS_MESSAGE =
  'expected "host:port" with an IP number, such as "127.0.0.1:8080"';

const addressText = z.string().transform((text, context): Address => {
  const parsed = tryParse(text);
  if (parsed) return parsed;
  context.addIssue({code: 'custom', message: ADDRESS_MESSAGE});
  return z.NEVER;
});

const addressObject = z.strictObject({
  host: z.string().refine(host => isIP(host) !== 0, 'expected an IP number'),
  port: z.int().min(1).max(PORT_MAX),
});

/** An address by IP number, as `host:port` text or as an object. */
export const address = z
  .union([addressText, addressObject])
  .describe('Address by IP number: "host:port" or {host, port}.');

/** A name of an instance, service, site, region or failure domain. */
export const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'expected a name of lower-case letters, digits, ".", "_" and "-"',
  );

/** A positive whole number of milliseconds. */
export const milliseconds = z.int().min(1).max(86_400_000);

/** A share from 0 to 1. */
export const share = z.number().min(0).max(1);

/** A URL path that begins with a slash. */
export const path = z
  .string()
  .regex(/^\/[^?#\s]*$/, 'expected a path that begins with "/"');

/** A power of two up to a limit. */
export function powerOfTwo(limit: number) {
  return z
    .int()
    .min(1)
    .max(limit)
    .refine(isPowerOfTwo, 'expected a power of two');
}

function tryParse(text: string): Address | undefined {
  try {
    const parsed = parseAddress(text);
    return parsed.port === 0 ? undefined : parsed;
  } catch (error) {
    if (error instanceof RangeError) return undefined;
    throw error;
  }
}

function isPowerOfTwo(value: number): boolean {
  return value > 0 && (value & (value - 1)) === 0;
}
