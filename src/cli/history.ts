import type {AcceptedConfiguration} from '../model/index.js';
import {
  CONFIGURATION_KEY,
  historyKey,
  type ObjectStore,
} from '../store/index.js';
import {parseAccepted} from '../settings/index.js';
import type {Context} from './context.js';
import {EXIT, type Result} from './result.js';
import {formatTable} from './table.js';

/**
 * Lists the accepted configurations, newest first.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * (await history(context, 20)).lines;
 */
export async function history(
  context: Context,
  limit: number,
): Promise<Result> {
  const entries: AcceptedConfiguration[] = [];
  let entry = await readCurrent(context.platform);
  while (entry && entries.length < limit) {
    entries.push(entry);
    entry = await readHistory(context.platform, entry.version - 1);
  }
  const rows = entries.map(e => [
    String(e.version),
    e.acceptedAt,
    e.author,
    e.change,
  ]);
  const lines = formatTable([
    ['VERSION', 'ACCEPTED', 'AUTHOR', 'CHANGE'],
    ...rows,
  ]);
  const report = entries.map(withoutSites);
  return {code: EXIT.ok, lines, report: {history: report}};
}

/**
 * Reads the current configuration from the platform.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * const version = (await readCurrent(platform))?.version ?? 0;
 */
export async function readCurrent(
  platform: ObjectStore,
): Promise<AcceptedConfiguration | undefined> {
  const object = await platform.get(CONFIGURATION_KEY);
  return object && parseAccepted(object.value);
}

/**
 * Reads an earlier configuration from the history. Returns undefined if the
 * history has no entry for the version.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * const entry = await readHistory(platform, 12);
 */
export async function readHistory(
  platform: ObjectStore,
  version: number,
): Promise<AcceptedConfiguration | undefined> {
  const object = await platform.get(historyKey(version));
  return object && parseAccepted(object.value);
}

function withoutSites({
  version,
  change,
  author,
  acceptedAt,
}: AcceptedConfiguration) {
  return {version, change, author, acceptedAt};
}
