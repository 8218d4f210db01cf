import {createHash} from 'node:crypto';

/** What is the same when a caller sends a request again under a new id. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with the query. */
  readonly target: string;
  readonly key?: number;
  readonly hasBody: boolean;
  /** Digest of the body; '' without a body. */
  readonly bodyDigest: () => string;
}

/** Length of a digest in bytes: collisions can't be constructed. */
const DIGEST_BYTES = 16;

/**
 * Returns the digest of a body, or of the part of it that is compared.
 *
 * @example
 * digestOf(Buffer.from('swap')).length; // 22
 */
export function digestOf(bytes: Uint8Array | string): string {
  const digest = createHash('sha256').update(bytes).digest();
  return digest.subarray(0, DIGEST_BYTES).toString('base64url');
}

/**
 * Returns the identity of a request that is compared first, since it costs no
 * digest: everything but the body.
 *
 * @example
 * addressOf(content); // 'GET a.example /view/7 4711'
 */
export function addressOf(content: RequestContent): string {
  const {method, host, target, key} = content;
  return `${method} ${host.toLowerCase()} ${target} ${key ?? ''}`;
}

/**
 * Returns the fingerprint of a request: equal for requests that differ in
 * nothing but their ids, times and other headers.
 *
 * @example
 * fingerprintOf(content) === fingerprintOf({...content}); // true
 */
export function fingerprintOf(content: RequestContent): string {
  return digestOf(`${addressOf(content)}\n${content.bodyDigest()}`);
}
