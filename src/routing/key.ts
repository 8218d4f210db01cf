import type {KeySource} from '../model/index.js';

/** Longest key, in bytes of UTF-8. */
export const KEY_LIMIT_BYTES = 512;

/** Name and value of each header in turn, as received. */
export type RawHeaders = readonly string[];

/** The key of a request, or why it has none that can be used. */
export type KeyResult =
  | {readonly kind: 'key'; readonly key: string}
  | {readonly kind: 'bad'; readonly message: string};

/**
 * Finds the key of a request.
 *
 * @param path Path of the request, without its query.
 * @throws {RangeError} when the source names neither a path nor a header.
 *
 * @example
 * findKey({path: '/rota/{key}'}, '/rota/night-desk', []); // {kind: 'key', key: 'night-desk'}
 */
export function findKey(
  source: KeySource,
  path: string,
  headers: RawHeaders,
): KeyResult {
  if (source.path !== undefined) return keyOfPath(source.path, path);
  if (source.header !== undefined) return keyOfHeader(source.header, headers);
  throw new RangeError('key source has neither a path nor a header');
}

function keyOfPath(pattern: string, path: string): KeyResult {
  const placeholder = pattern.indexOf('{key}');
  const before = pattern.slice(0, placeholder);
  const after = pattern.slice(placeholder + '{key}'.length);
  if (!path.startsWith(before))
    return rejectKey(`path is not of form ${pattern}`);
  const slash = path.indexOf('/', before.length);
  const end = slash < 0 ? path.length : slash;
  const rest = path.slice(end);
  if (after && rest !== after && !rest.startsWith(after + '/')) {
    return rejectKey(`path is not of form ${pattern}`);
  }
  return decodeKey(path.slice(before.length, end));
}

function decodeKey(segment: string): KeyResult {
  if (!segment.includes('%')) return checkKey(segment);
  if (/%2f/i.test(segment)) return rejectKey('key holds an encoded slash');
  if (/%(?![0-9a-f]{2})/i.test(segment)) {
    return rejectKey('key holds an incomplete percent-encoding');
  }
  try {
    return checkKey(decodeURIComponent(segment));
  } catch {
    return rejectKey('key is not valid UTF-8');
  }
}

function keyOfHeader(name: string, headers: RawHeaders): KeyResult {
  const values = valuesOf(name, headers);
  if (values.length === 0) return rejectKey(`header ${name} is missing`);
  if (values.some(value => value !== values[0])) {
    return rejectKey(`header ${name} is given twice with different values`);
  }
  const decoded = decodeUtf8(values[0]);
  if (decoded === undefined) return rejectKey('key is not valid UTF-8');
  return checkKey(decoded);
}

function valuesOf(name: string, headers: RawHeaders): readonly string[] {
  const values: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i].toLowerCase() === name) values.push(headers[i + 1]);
  }
  return values;
}

const utf8 = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});

/** Decodes a header value, whose characters stand for bytes. */
function decodeUtf8(value: string): string | undefined {
  try {
    return utf8.decode(Buffer.from(value, 'latin1'));
  } catch {
    return undefined;
  }
}

function checkKey(key: string): KeyResult {
  if (key === '') return rejectKey('key is empty');
  if (key === '.' || key === '..') return rejectKey('key is a dot segment');
  if (Buffer.byteLength(key) > KEY_LIMIT_BYTES) {
    return rejectKey(`key is longer than ${KEY_LIMIT_BYTES} bytes`);
  }
  return {kind: 'key', key};
}

function rejectKey(message: string): KeyResult {
  return {kind: 'bad', message};
}
