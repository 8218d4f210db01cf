import {setTimeout as sleep} from 'node:timers/promises';
import {chooseRelays} from '../membership/index.js';
import type {ReceivedObject} from '../membership/index.js';
import type {Address, Member} from '../model/index.js';
import type {ObjectStore} from '../store/index.js';

/** Where the objects of the platform come from. */
export type FeedSource =
  | {readonly kind: 'platform'}
  | {readonly kind: 'peer'; readonly address: Address};

/** What a feed needs. */
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
  /** Reports the source that is used now. */
  readonly onSourceChange: (source: FeedSource) => void;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Pause after a source failed, in milliseconds; the real one is random. */
const MEAN_RETRY_DELAY_MS = 200;

/** Time after which a daemon checks whether it should use another source. */
const SOURCE_REVIEW_INTERVAL_MS = 2_000;

/** Silence after which a peer's stream counts as broken, in milliseconds. */
const PEER_IDLE_TIMEOUT_MS = 3_000;

/**
 * Keeps a daemon supplied with the platform's objects until aborted. Relays
 * watch the platform; the others follow a relay of their failure domain, and
 * turn to the platform or to the seeds when no relay answers.
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

/** Returns the sources of a daemon, the preferred one first. */
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

function isPreferred(options: FeedOptions, source: FeedSource): boolean {
  const [preferred] = rankSources(options);
  if (preferred.kind !== source.kind) return false;
  if (preferred.kind === 'platform' || source.kind === 'platform') return true;
  return (
    preferred.address.host === source.address.host &&
    preferred.address.port === source.address.port
  );
}

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
