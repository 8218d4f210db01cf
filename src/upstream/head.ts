/** Names of hop-by-hop headers, in lower case. They are not forwarded. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Name prefix of vanillaspool's own headers. */
export const OWN_HEADER_PREFIX = 'vanillaspool-';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Headers that may be forwarded, as alternating names and values. */
  readonly headers: string[];
  /**
   * Values of vanillaspool's own headers by lower-case name. Values of headers
   * with the same name are joined by commas.
   */
  readonly ownHeaders: ReadonlyMap<string, string>;
  readonly retryAfter?: string;
  /** Content-Length in bytes; NaN if the header is absent. */
  readonly contentLength: number;
  readonly isChunked: boolean;
}

const NO_OWN_HEADERS: ReadonlyMap<string, string> = new Map();

/**
 * Parses the head of a response. Removes the hop-by-hop headers and separates
 * vanillaspool's own headers from those that may be forwarded.
 *
 * @param raw Alternating names and values of the headers.
 *
 * @example
 * parseResponseHead(200, [Buffer.from('Connection'), Buffer.from('close')]).headers; // []
 */
export function parseResponseHead(
  status: number,
  raw: readonly (Buffer | string)[],
): ResponseHead {
  const headers: string[] = [];
  let ownHeaders: Map<string, string> | undefined;
  let retryAfter: string | undefined;
  let contentLength = NaN;
  let connectionOptions = '';
  let isChunked = false;
  for (let i = 0; i < raw.length; i += 2) {
    const name = textOf(raw[i]);
    const value = textOf(raw[i + 1]);
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower)) {
      if (lower === 'connection') connectionOptions += `,${value}`;
      if (lower === 'transfer-encoding') isChunked = true;
    } else if (lower.startsWith(OWN_HEADER_PREFIX)) {
      ownHeaders ??= new Map();
      const before = ownHeaders.get(lower);
      ownHeaders.set(
        lower,
        before === undefined ? value : `${before}, ${value}`,
      );
    } else {
      if (lower === 'retry-after') retryAfter = value;
      if (lower === 'content-length') contentLength = Number(value);
      headers.push(name, value);
    }
  }
  removeListedHeaders(headers, connectionOptions);
  return {
    status,
    headers,
    ownHeaders: ownHeaders ?? NO_OWN_HEADERS,
    retryAfter,
    contentLength,
    isChunked,
  };
}

function textOf(raw: Buffer | string): string {
  return typeof raw === 'string' ? raw : raw.toString('latin1');
}

/** Matches connection options that name no other header. */
const STANDARD_CONNECTION_OPTIONS = /^,(keep-alive|close)$/i;

/**
 * Removes the headers that a Connection header lists.
 *
 * @param headers Alternating names and values of the headers; modified in place.
 * @param connectionOptions Values of the Connection headers, each preceded by a
 *     comma.
 *
 * @example
 * removeListedHeaders(['X-A', '1'], ',close,x-a'); // leaves an empty array
 */
export function removeListedHeaders(
  headers: string[],
  connectionOptions: string,
): void {
  if (!connectionOptions || STANDARD_CONNECTION_OPTIONS.test(connectionOptions))
    return;
  const names = connectionOptions
    .split(',')
    .map(name => name.trim().toLowerCase());
  const dropped = new Set(names);
  let kept = 0;
  for (let i = 0; i < headers.length; i += 2) {
    if (dropped.has(headers[i].toLowerCase())) continue;
    headers[kept] = headers[i];
    headers[kept + 1] = headers[i + 1];
    kept += 2;
  }
  headers.length = kept;
}
