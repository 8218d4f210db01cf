import type {Address} from '../model/index.js';
import {parseAddress} from '../model/index.js';
import {UsageError} from './result.js';

/** Parsed options of a command line, by name. */
export interface Options {
  readonly _: readonly string[];
  readonly [name: string]: unknown;
}

/** Options whose value is text; the parser does not convert them to numbers. */
export const TEXT_OPTIONS = [
  'platform',
  'daemon',
  'author',
  'change',
  'service',
  'timeout',
  'based-on',
  'limit',
] as const;

/** Options without a value. */
export const FLAG_OPTIONS = ['json', 'yes', 'remove-sites'] as const;

/**
 * Returns the value of a text option, or undefined if it is absent.
 *
 * @example
 * textOption({_: [], service: 'rota-display'}, 'service'); // 'rota-display'
 */
export function textOption(options: Options, name: string): string | undefined {
  const value = options[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/**
 * Returns the value of an address option, or undefined if it is absent.
 *
 * @throws {UsageError} when the value is not an IP address with a port.
 *
 * @example
 * addressOption({_: [], platform: '127.0.0.1:80'}, 'platform')?.port; // 80
 */
export function addressOption(
  options: Options,
  name: string,
): Address | undefined {
  const text = textOption(options, name);
  if (text === undefined) return undefined;
  try {
    return parseAddress(text);
  } catch (error) {
    if (!(error instanceof RangeError)) throw error;
    throw new UsageError(`--${name}: ${error.message}`);
  }
}

/**
 * Parses a non-negative integer.
 *
 * @throws {UsageError} when the text is not a non-negative integer.
 *
 * @example
 * wholeNumber('12', '--limit'); // 12
 */
export function wholeNumber(text: string, name: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new UsageError(`${name} must be a whole number, got ${text}`);
}
