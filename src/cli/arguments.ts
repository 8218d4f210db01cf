import type {Address} from '../model/index.js';
import {parseAddress} from '../model/index.js';
import {UsageError} from './result.js';

/** Options of a command line, by name, as the parser leaves them. */
export interface Options {
  readonly _: readonly string[];
  readonly [name: string]: unknown;
}

/** Options whose value is text; none of them is read as a number. */
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

/** Options that are set by being named. */
export const FLAG_OPTIONS = ['json', 'yes', 'remove-sites'] as const;

/**
 * Reads a text option; undefined if it is absent.
 *
 * @example
 * textOption({_: [], service: 'rota-display'}, 'service'); // 'rota-display'
 */
export function textOption(options: Options, name: string): string | undefined {
  const value = options[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/**
 * Reads an address option; undefined if it is absent.
 *
 * @throws {UsageError} when the value is no address by IP number.
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
    throw new UsageError(`--${name} is ${error.message}`);
  }
}

/**
 * Reads a whole number from 0 from text.
 *
 * @throws {UsageError} when the text is no such number.
 *
 * @example
 * wholeNumber('12', '--limit'); // 12
 */
export function wholeNumber(text: string, name: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new UsageError(`${name} is not a whole number: ${text}`);
}
