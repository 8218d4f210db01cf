import {
  createHmac,
  createSecretKey,
  timingSafeEqual,
  type KeyObject,
} from 'node:crypto';

/** Signs and verifies text that passes between the daemons of one fleet. */
export interface Signer {
  readonly sign: (text: string) => string;
  readonly verify: (text: string, signature: string) => boolean;
}

/**
 * Creates a signer with HMAC-SHA-256. The first secret signs; each of them
 * verifies, so that secrets can be rotated without a break.
 *
 * @throws {RangeError} when there is no secret.
 *
 * @example
 * const signer = createSigner('newsrooms', ['new secret', 'old secret']);
 * signer.verify('text', signer.sign('text')); // true
 */
export function createSigner(
  fleet: string,
  secrets: readonly string[],
): Signer {
  if (secrets.length === 0) throw new RangeError('no secret is given');
  const keys = secrets.map(secret => createSecretKey(secret, 'utf8'));
  const digestOf = (key: KeyObject, text: string) =>
    createHmac('sha256', key).update(`${fleet}\n${text}`).digest();
  return {
    sign: text => digestOf(keys[0], text).toString('base64url'),
    verify: (text, signature) => {
      const given = Buffer.from(signature, 'base64url');
      return keys.some(key => {
        const expected = digestOf(key, text);
        return (
          given.length === expected.length && timingSafeEqual(given, expected)
        );
      });
    },
  };
}
