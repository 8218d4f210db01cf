/** Names of headers that hold for one connection only, in lower case. */
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

/** Prefix of the names of vanillaspool's own headers. */
export const OWN_HEADER_PREFIX = 'vanillaspool-';

/** What the headers of an answer say. */
export interface ResponseHead {
  readonly status: number;
  /** Name and value of each header in turn that may be passed on. */
  readonly headers: string[];
  /**
   * Values of vanillaspool's own headers by their name in lower case; those of
   * headers with the same name are joined by commas.
   */
  readonly ownHeaders: ReadonlyMap<string, string>;
  readonly retryAfter?: string;
  /** Length of the body in bytes; NaN when it is not stated. */
  readonly contentLength: number;
  readonly isChunked: boolean;
}

const NO_OWN_HEADERS: ReadonlyMap<string, string> = new Map();

/**
 * Reads the headers of an answer: keeps those that may be passed on and takes
 * out those of the connection and vanillaspool's own.
 *
 * @param raw Name and value of each header in turn.
 *
 * @example
 * readAnswerHead(200, [Buffer.from('Connection'), Buffer.from('close')]).headers; // []
 */
export function parseResponseHead(
  status: number,
  raw: readonly Buffer[],
): ResponseHead {
  const headers: string[] = [];
  let ownHeaders: Map<string, string> | undefined;
  let retryAfter: string | undefined;
  let contentLength = NaN;
  let connectionOptions = '';
  let isChunked = false;
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i].toString('latin1');
    const value = raw[i + 1].toString('latin1');
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
    isChunked: isChunked,
  };
}

/** Values of a Connection header that name no other header. */
const STANDARD_CONNECTION_OPTIONS = /^,(keep-alive|close)$/i;

/**
 * Removes the headers that a Connection header lists.
 *
 * @param headers Name and value of each header in turn; changed in place.
 * @param connectionOptions Values of the Connection headers, each after a comma.
 *
 * @example
 * dropListed(['X-A', '1'], ',close,x-a'); // leaves an empty array
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
