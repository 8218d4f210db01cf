import type {AcceptedConfiguration, Chunk, Member} from '../model/index.js';
import type {MirrorEntry} from '../membership/index.js';
import {
  CHUNKS_PREFIX,
  CONFIGURATION_KEY,
  MEMBERS_PREFIX,
} from '../store/index.js';
import {parseAccepted} from '../settings/index.js';

/** An object of the platform, read by its key. */
export type PlatformObject =
  | {readonly kind: 'member'; readonly member: Member}
  | {readonly kind: 'chunk'; readonly chunk: Chunk}
  | {
      readonly kind: 'configuration';
      readonly accepted: AcceptedConfiguration;
    }
  | {readonly kind: 'other'}
  | {readonly kind: 'malformed'; readonly message: string};

/** Reads an object by its key. */
export function parseObject(
  entry: Pick<MirrorEntry, 'key' | 'value'>,
): PlatformObject {
  try {
    return parseByKey(entry.key, entry.value);
  } catch (error) {
    return {kind: 'malformed', message: String(error)};
  }
}

function parseByKey(key: string, value: string): PlatformObject {
  if (key.startsWith(MEMBERS_PREFIX)) {
    return {kind: 'member', member: JSON.parse(value) as Member};
  }
  if (key.startsWith(CHUNKS_PREFIX)) {
    return {kind: 'chunk', chunk: JSON.parse(value) as Chunk};
  }
  if (key === CONFIGURATION_KEY) {
    return {kind: 'configuration', accepted: parseAccepted(value)};
  }
  return {kind: 'other'};
}
