import {setTimeout as sleep} from 'node:timers/promises';
import {closeServers} from '../gateway/index.js';
import type {Member} from '../model/index.js';
import {hasNoActiveSlices} from '../ownership/index.js';
import type {State} from '../ownership/index.js';
import {memberKey, putWithReadBack} from '../store/index.js';
import type {ObjectStore} from '../store/index.js';
import type {ObjectMirror} from './mirror.js';
import type {Parts} from './parts.js';
import {startDrain} from './handlers.js';

/** Time between two checks whether a draining daemon is idle, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 20;

/** Gives all slices away and finishes what is in flight. */
export async function drain(parts: Parts): Promise<void> {
  const {loop, gateway, servers, reachability, objects} = parts;
  startDrain(parts);
  while (!hasNoActiveSlices(loop.state())) await sleep(IDLE_CHECK_INTERVAL_MS);
  await closeServers(gateway, [servers.callers], new Promise(() => {}));
  while (gateway.inFlight() > 0) await sleep(IDLE_CHECK_INTERVAL_MS);
  await recordProcessEnd(reachability.platform, objects, loop.state());
}

/** Records that this process has ended, so that nobody has to prove it. */
async function recordProcessEnd(
  platform: ObjectStore,
  objects: ObjectMirror,
  state: State,
): Promise<void> {
  if (!state.storedRecord || !state.isPlatformReachable) return;
  const key = memberKey(state.self.instance);
  const ended: Member = {
    ...state.storedRecord,
    state: 'ended',
    processEnded: true,
  };
  await putWithReadBack(
    platform,
    key,
    JSON.stringify(ended),
    objects.version(key),
  );
}
