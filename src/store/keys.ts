/** Key of the accepted configuration. */
export const CONFIGURATION_KEY = 'configuration/current';

/** Key prefix of earlier accepted configurations, by version. */
export const HISTORY_PREFIX = 'configuration/history/';

/** Key prefix of registration records, by instance. */
export const MEMBERS_PREFIX = 'members/';

/** Key prefix of the chunks of slice records. */
export const CHUNKS_PREFIX = 'chunks/';

/**
 * Returns the key of the registration record of an instance.
 *
 * @example
 * memberKey('rota-display-1'); // 'members/rota-display-1'
 */
export function memberKey(instance: string): string {
  return `${MEMBERS_PREFIX}${instance}`;
}

/**
 * Returns the key of one chunk of the slice records of a service.
 *
 * @example
 * chunkKey('rota-display', 3); // 'chunks/rota-display/3'
 */
export function chunkKey(service: string, index: number): string {
  return `${CHUNKS_PREFIX}${service}/${index}`;
}

/**
 * Returns the key of an accepted configuration in the history.
 *
 * @example
 * historyKey(12); // 'configuration/history/12'
 */
export function historyKey(version: number): string {
  return `${HISTORY_PREFIX}${version}`;
}
