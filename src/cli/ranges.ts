import {formatAddress} from '../model/index.js';
import {EMPTY_MAP, parseMap, type RangeTerm} from '../ranges/index.js';
import {
  MAP_PATH,
  STATUS_PATH,
  fetchFromPeer,
  type InstanceStatus,
} from '../sidecar/index.js';
import type {Context} from './context.js';
import {EXIT, UsageError, failure, type Result} from './result.js';
import {formatTable} from './table.js';

/** Time limit of a question to a daemon, in milliseconds: a few store reads. */
const REQUEST_TIMEOUT_MS = 2000;

const HEADINGS = [
  'KEYS',
  'STATE',
  'TOKEN',
  'HOLDER',
  'DAEMON',
  'NEXT',
  'HOLD LEFT',
] as const;

/** What is known of one range of keys. */
interface RangeReport extends RangeTerm {
  /**
   * Time until the holder's grant runs out unless it is renewed, in
   * milliseconds; missing when its daemon does not say.
   */
  readonly holdLeftMs?: number;
}

/**
 * Shows who owns the keys of a service: the map as a daemon reads it from the
 * store now, and how long each holder's grant still lasts.
 *
 * @throws {UsageError} when no daemon is named.
 *
 * @example
 * (await ranges(context, 'stock')).lines;
 */
export async function ranges(
  {daemon: address}: Pick<Context, 'daemon'>,
  service: string,
): Promise<Result> {
  if (!address) throw new UsageError('--daemon is missing');
  const daemon = formatAddress(address);
  const path = MAP_PATH + encodeURIComponent(service);
  const object = await fetchFromPeer<{readonly value?: string}>(
    daemon,
    path,
    REQUEST_TIMEOUT_MS,
  );
  if (!object) {
    const message = `${daemon} does not answer, or can't read the store`;
    return failure(EXIT.unreachable, message);
  }
  const map = object.value === undefined ? EMPTY_MAP : parseMap(object.value);
  if ('problem' in map) {
    return failure(EXIT.refused, `map of ${service}: ${map.problem}`);
  }
  if (map.terms.length === 0) {
    return failure(EXIT.refused, `no keys of service ${service} are assigned`);
  }
  const nodes = new Set(map.terms.map(({holder}) => holder.node));
  const statuses = new Map(
    await Promise.all(
      [...nodes].map(async node => {
        const status = await fetchFromPeer<InstanceStatus>(
          node,
          STATUS_PATH,
          REQUEST_TIMEOUT_MS,
        );
        return [node, status] as const;
      }),
    ),
  );
  const reports = map.terms.map((term): RangeReport => {
    const status = statuses.get(term.holder.node);
    const isSame =
      status?.id === term.holder.id && status.born === term.holder.born;
    return isSame ? {...term, holdLeftMs: status.holdLeftMs} : term;
  });
  const lines = formatTable([HEADINGS, ...reports.map(rowOf)]);
  return {code: EXIT.ok, lines, report: {service, ranges: reports}};
}

function rowOf(term: RangeReport): readonly string[] {
  const {from, to, state, fence, holder, next, holdLeftMs} = term;
  const isHeld = state === 'held' || state === 'moving';
  return [
    `${from}-${to}`,
    state,
    String(fence),
    state === 'free' ? '-' : holder.id,
    state === 'free' ? '-' : holder.node,
    next?.id ?? '-',
    isHeld && holdLeftMs !== undefined ? `${Math.round(holdLeftMs)} ms` : '-',
  ];
}
