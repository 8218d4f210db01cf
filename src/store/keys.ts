/** Key of the accepted configuration. */
export const CONFIGURATION_KEY = 'configuration/current';

/** Prefix of the keys of earlier accepted configurations, by version. */
export const HISTORY_PREFIX = 'configuration/history/';

/** Prefix of the keys of registration records, by instance. */
export const MEMBERS_PREFIX = 'members/';

/** Prefix of the keys of the chunks of slice records. */
export const CHUNKS_PREFIX = 'chunks/';

/**
 * Key of the registration record of an instance.
 *
 * @example
 * memberKey('rota-display-1'); // 'members/rota-display-1'
 */
export function memberKey(instance: string): string {
  return `${MEMBERS_PREFIX}${instance}`;
}

/**
 * Key of one chunk of the slice records of a service.
 *
 * @example
 * chunkKey('rota-display', 3); // 'chunks/rota-display/3'
 */
export function chunkKey(service: string, index: number): string {
  return `${CHUNKS_PREFIX}${service}/${index}`;
}

/**
 * Key of an accepted configuration in the history.
 *
 * @example
 * historyKey(12); // 'configuration/history/12'
 */
export function historyKey(version: number): string {
  return `${HISTORY_PREFIX}${version}`;
}
