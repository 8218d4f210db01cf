import {createHmac, timingSafeEqual} from 'node:crypto';

/** A secret that the daemons of one fleet share. */
export interface Secret {
  readonly id: string;
  readonly key: string;
}

/** Length of a signature, in bytes. */
export const SIGNATURE_BYTES = 16;

/** Signs and verifies bytes with the secrets of a fleet. */
export interface Signer {
  /** Identifier of the secret that signs. */
  readonly id: string;
  readonly sign: (data: Uint8Array) => Uint8Array;
  /** Tells whether the signature was made with the secret of that identifier. */
  readonly verify: (
    id: string,
    data: Uint8Array,
    signature: Uint8Array,
  ) => boolean;
}

/**
 * Creates a signer. The first secret signs and all verify, so that a secret is
 * replaced by adding the new one behind the old one at every daemon, then
 * moving it to the front, then removing the old one.
 *
 * @throws {RangeError} when there is no secret or two have the same identifier.
 *
 * @example
 * const signer = createSigner([{id: 'k2', key: '...'}, {id: 'k1', key: '...'}]);
 */
export function createSigner(secrets: readonly Secret[]): Signer {
  if (secrets.length === 0) throw new RangeError('there is no secret');
  const byId = new Map(secrets.map(secret => [secret.id, secret.key]));
  if (byId.size !== secrets.length) {
    throw new RangeError('two secrets have the same identifier');
  }
  const {id, key} = secrets[0];
  return {
    id,
    sign: data => signature(key, data),
    verify: (secretId, data, candidate) => {
      const secret = byId.get(secretId);
      if (secret === undefined || candidate.length !== SIGNATURE_BYTES) {
        return false;
      }
      return timingSafeEqual(signature(secret, data), candidate);
    },
  };
}

function signature(key: string, data: Uint8Array): Uint8Array {
  const digest = createHmac('sha256', key).update(data).digest();
  return digest.subarray(0, SIGNATURE_BYTES);
}
