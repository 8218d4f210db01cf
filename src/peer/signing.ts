import {createHmac, timingSafeEqual} from 'node:crypto';

/** A signing secret shared by the daemons of a fleet. */
export interface Secret {
  readonly id: string;
  readonly key: string;
}

export const SIGNATURE_BYTES = 16;

/** Signs and verifies data with the secrets of a fleet. */
export interface Signer {
  /** Identifier of the secret used for signing. */
  readonly id: string;
  readonly sign: (data: Uint8Array) => Uint8Array;
  /**
   * Returns whether a signature of the data was made with the secret that has
   * this identifier; false if the identifier is unknown.
   */
  readonly verify: (
    id: string,
    data: Uint8Array,
    signature: Uint8Array,
  ) => boolean;
}

/**
 * Creates a signer. The first secret is used for signing, all are used for
 * verifying. To rotate a secret, append the new one at every daemon, then move
 * it to the front, then remove the old one.
 *
 * @throws {RangeError} When there is no secret or two have the same identifier.
 *
 * @example
 * const signer = createSigner([{id: 'k2', key: '...'}, {id: 'k1', key: '...'}]);
 */
export function createSigner(secrets: readonly Secret[]): Signer {
  if (secrets.length === 0)
    throw new RangeError('expected at least one secret, got none');
  const byId = new Map(secrets.map(secret => [secret.id, secret.key]));
  if (byId.size !== secrets.length) {
    throw new RangeError('expected unique secret identifiers, got a duplicate');
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
