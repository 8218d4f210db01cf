import {chooseStewards} from '../membership/index.js';
import {leaseOf} from '../model/index.js';
import type {Chunk, Configuration, Member, Service} from '../model/index.js';
import {
  chunkSubject,
  leaseEnded,
  OWNERSHIP_EVENTS,
  releasedEpoch,
} from '../ownership/index.js';
import type {State} from '../ownership/index.js';
import {planChunk} from '../placement/index.js';
import {chunkKey, putResolved} from '../platform/index.js';
import type {Platform} from '../platform/index.js';
import type {Log} from '../telemetry/index.js';
import type {Objects} from './versions.js';

/** Time between two reviews of the chunks, in milliseconds. */
const REVIEW_MS = 100;

/** What a steward needs. */
export interface StewardOptions {
  readonly state: () => State;
  readonly configuration: () => Configuration | undefined;
  readonly platform: Platform;
  readonly objects: Objects;
  readonly log: Log;
}

/**
 * Starts to plan the chunks that this daemon is the steward of. Two stewards of
 * one chunk are harmless, since a chunk is written conditionally.
 *
 * @returns The function that stops it.
 *
 * @example
 * const stop = startSteward(options);
 */
export function startSteward(options: StewardOptions): () => void {
  const writing = new Set<string>();
  const timer = setInterval(() => review(options, writing), REVIEW_MS);
  return () => clearInterval(timer);
}

function review(options: StewardOptions, writing: Set<string>): void {
  const state = options.state();
  if (!state.platformReachable) return;
  const services = options.configuration()?.services ?? [];
  const live = [...state.view.members.values()].filter(
    member => !leaseEnded(state.view, leaseOf(member)),
  );
  for (const service of services.filter(({key}) => key !== undefined)) {
    for (let index = 0; index < service.chunks; index++) {
      const key = chunkKey(service.name, index);
      if (writing.has(key) || !isSteward(state, service, index, live)) {
        continue;
      }
      const next = plan(state, service, index);
      if (!next) continue;
      writing.add(key);
      void write(options, key, next).finally(() => writing.delete(key));
    }
  }
}

function isSteward(
  state: State,
  service: Service,
  index: number,
  live: readonly Member[],
): boolean {
  const subject = chunkSubject(service.name, index);
  const [steward] = chooseStewards(subject, live, 1);
  return steward?.instance === state.self.instance;
}

function plan(
  state: State,
  service: Service,
  index: number,
): Chunk | undefined {
  const {view} = state;
  const members = [...view.members.values()].filter(
    member => member.service === service.name,
  );
  return planChunk({
    service,
    index,
    chunk: view.chunks.get(`${service.name}/${index}`),
    members,
    ended: lease => leaseEnded(view, lease),
    released: (id, lease) => releasedEpoch(view, id.service, id.slice, lease),
  });
}

async function write(
  options: StewardOptions,
  key: string,
  chunk: Chunk,
): Promise<void> {
  const {platform, objects, log} = options;
  const value = JSON.stringify(chunk);
  const expected = objects.version(key);
  const result = await putResolved(platform, key, value, expected);
  if (result.kind === 'stored') {
    objects.learn({key, value, version: result.version});
    log(OWNERSHIP_EVENTS.chunkPlanned, {key, version: result.version});
  } else if (result.kind === 'conflict' && result.current) {
    objects.learn(result.current);
    log(OWNERSHIP_EVENTS.chunkConflict, {key});
  }
}
