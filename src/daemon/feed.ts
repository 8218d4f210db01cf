import {setTimeout as sleep} from 'node:timers/promises';
import {chooseRelays} from '../membership/index.js';
import type {ReceivedObject} from '../membership/index.js';
import type {Address, Member} from '../model/index.js';
import type {ObjectStore} from '../store/index.js';

/** Source of the platform's objects: the platform itself or another daemon. */
export type FeedSource =
  | {readonly kind: 'platform'}
  | {readonly kind: 'peer'; readonly address: Address};

/** Options of the feed. */
export interface FeedOptions {
  readonly instance: string;
  readonly domain: string;
  readonly seeds: readonly Address[];
  readonly platform: ObjectStore;
  readonly members: () => readonly Member[];
  readonly revision: () => number;
  readonly follow: (
    address: Address,
    after: number,
    signal: AbortSignal,
  ) => AsyncIterable<readonly ReceivedObject[]>;
  readonly receive: (objects: readonly ReceivedObject[]) => void;
  /** Called with the source before it is used. */
  readonly onSourceChange: (source: FeedSource) => void;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Mean delay before a retry; jitter spreads it between 0.5 and 1.5 times. */
const MEAN_RETRY_DELAY_MS = 200;

/** Interval at which a daemon checks whether its source is still preferred. */
const SOURCE_REVIEW_INTERVAL_MS = 2_000;

/** Time without a message after which the stream of a peer is aborted. */
const PEER_IDLE_TIMEOUT_MS = 3_000;

/**
 * Receives the platform's objects until aborted. Relays watch the platform;
 * other daemons follow a relay of their failure domain and fall back to the
 * platform and then to the seeds when no relay responds.
 *
 * @example
 * void runFeed(options);
 */
export async function runFeed(options: FeedOptions): Promise<void> {
  let failures = 0;
  while (!options.signal.aborted) {
    const sources = rankSources(options);
    const source = sources[failures % sources.length];
    options.onSourceChange(source);
    const revisionBefore = options.revision();
    const isCompleted = await consumeSource(options, source);
    const hasProgressed = isCompleted || options.revision() > revisionBefore;
    failures = hasProgressed ? 0 : failures + 1;
    const delayMs = hasProgressed
      ? 0
      : MEAN_RETRY_DELAY_MS * (0.5 + options.random());
    await sleep(delayMs, undefined, {signal: options.signal}).catch(() => {});
  }
}

/** Returns the sources of a daemon in order of preference. */
export function rankSources(
  options: Pick<FeedOptions, 'instance' | 'domain' | 'seeds' | 'members'>,
): readonly FeedSource[] {
  const relays = chooseRelays(options.domain, options.members());
  const isRelay = relays.some(relay => relay.instance === options.instance);
  const platform: FeedSource = {kind: 'platform'};
  const seeds = options.seeds.map(peerSource);
  if (relays.length === 0 || isRelay) return [platform, ...seeds];
  return [...relays.map(relay => peerSource(relay.peers)), platform, ...seeds];
}

function peerSource(address: Address): FeedSource {
  return {kind: 'peer', address};
}

/**
 * Consumes a source until it fails or another one is preferred.
 *
 * @returns False when the source failed while it was still preferred.
 */
async function consumeSource(
  options: FeedOptions,
  source: FeedSource,
): Promise<boolean> {
  const controller = new AbortController();
  const stop = () => controller.abort();
  options.signal.addEventListener('abort', stop, {once: true});
  const review = setInterval(() => {
    if (!isPreferred(options, source)) stop();
  }, SOURCE_REVIEW_INTERVAL_MS);
  try {
    if (source.kind === 'platform') {
      await consumePlatform(options, controller.signal);
    } else {
      await consumePeer(options, source.address, controller);
    }
    return true;
  } catch {
    return controller.signal.aborted && !isPreferred(options, source);
  } finally {
    stop();
    clearInterval(review);
    options.signal.removeEventListener('abort', stop);
  }
}

/**
 * Returns whether a source is still the preferred one. Peers are compared by
 * address.
 */
function isPreferred(options: FeedOptions, source: FeedSource): boolean {
  const [preferred] = rankSources(options);
  if (preferred.kind !== source.kind) return false;
  if (preferred.kind === 'platform' || source.kind === 'platform') return true;
  return (
    preferred.address.host === source.address.host &&
    preferred.address.port === source.address.port
  );
}

/** Lists all objects of the platform, then watches for changes. */
async function consumePlatform(
  options: FeedOptions,
  signal: AbortSignal,
): Promise<void> {
  const listing = await options.platform.list('');
  const sorted = [...listing.objects].sort((a, b) => a.version - b.version);
  options.receive(sorted);
  const changes = options.platform.watch('', listing.revision, signal);
  for await (const change of changes) {
    const {key, value, version} = change;
    if (value !== undefined) options.receive([{key, value, version}]);
  }
}

/** Follows the stream of a peer and aborts it when it is idle for too long. */
async function consumePeer(
  options: FeedOptions,
  address: Address,
  controller: AbortController,
): Promise<void> {
  const {signal} = controller;
  let timer = setTimeout(() => controller.abort(), PEER_IDLE_TIMEOUT_MS);
  try {
    const batches = options.follow(address, options.revision(), signal);
    for await (const objects of batches) {
      clearTimeout(timer);
      timer = setTimeout(() => controller.abort(), PEER_IDLE_TIMEOUT_MS);
      if (objects.length > 0) options.receive(objects);
    }
  } finally {
    clearTimeout(timer);
  }
}
