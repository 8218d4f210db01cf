/** Methods that the load tool sends. */
export type Method = 'GET' | 'HEAD' | 'POST' | 'PUT' | 'DELETE';

/** One kind of request in a mix. */
export interface RequestKind {
  readonly method: Method;
  /** Path, in which `{key}` is replaced with the key. */
  readonly path: string;
  /** Relative frequency of the kind in the mix. */
  readonly weight: number;
  readonly bodyBytes: number;
  /** Header that carries the key instead of the path. */
  readonly keyHeader?: string;
}

const METHODS: readonly Method[] = ['GET', 'HEAD', 'POST', 'PUT', 'DELETE'];

/**
 * Parses a kind written as `METHOD PATH [WEIGHT [BODY-BYTES [KEY-HEADER]]]`.
 *
 * @throws {RangeError} when the text is not of this form.
 *
 * @example
 * parseKind('PUT /season/{key} 1 65536').bodyBytes; // 65536
 */
export function parseKind(text: string): RequestKind {
  const [name, path, weight = '1', bytes = '0', keyHeader] = text
    .trim()
    .split(/\s+/);
  const method = METHODS.find(known => known === name);
  if (!method || !path?.startsWith('/')) {
    throw new RangeError(
      `expected "METHOD PATH" with a known method, got ${text}`,
    );
  }
  const kind = {
    method,
    path,
    weight: Number(weight),
    bodyBytes: Number(bytes),
    keyHeader,
  };
  if (!(kind.weight > 0))
    throw new RangeError(`expected a weight above 0, got ${weight}`);
  if (!(Number.isInteger(kind.bodyBytes) && kind.bodyBytes >= 0)) {
    throw new RangeError(`expected a whole number of body bytes, got ${bytes}`);
  }
  return kind;
}

/**
 * Returns whether a request of this method may be retried if it may already
 * have been executed.
 *
 * @example
 * isIdempotent('POST'); // false
 */
export function isIdempotent(method: Method): boolean {
  return method !== 'POST';
}
