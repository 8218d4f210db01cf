const AMBIGUOUS_LENGTH =
  'Content-Length or Transfer-Encoding is invalid, repeated or given together';
const MALFORMED_HEADER = 'a header field is malformed';

/** Node.js releases differ in their texts and codes for the same request. */
const REASONS: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', 'the headers are too long'],
  ['ERR_HTTP_REQUEST_TIMEOUT', 'the headers did not arrive in time'],
  ['HPE_UNEXPECTED_CONTENT_LENGTH', AMBIGUOUS_LENGTH],
  ['HPE_INVALID_CONTENT_LENGTH', AMBIGUOUS_LENGTH],
  ['HPE_INVALID_TRANSFER_ENCODING', AMBIGUOUS_LENGTH],
  ['HPE_INVALID_HEADER_TOKEN', MALFORMED_HEADER],
  ['HPE_CR_EXPECTED', MALFORMED_HEADER],
  ['HPE_LF_EXPECTED', MALFORMED_HEADER],
]);

/**
 * Returns what callers are told of an error of the HTTP parser. The text depends
 * on nothing but the kind of error.
 *
 * @param code Code of the parser's error.
 *
 * @example
 * malformedReason('HPE_HEADER_OVERFLOW'); // 'the headers are too long'
 */
export function malformedReason(code: string): string {
  return REASONS.get(code) ?? 'not a valid HTTP/1.1 request';
}

/**
 * Returns whether an error of the HTTP parser concerns bytes behind a request
 * that closes its connection. Some releases of Node.js report them, others drop
 * them; they must not cut off the response to that request.
 *
 * @example
 * if (isBehindLastRequest(error)) return;
 */
export function isBehindLastRequest(error: NodeJS.ErrnoException): boolean {
  return error.code === 'HPE_CLOSED_CONNECTION';
}
