import {applyFeed, applyDirect, emptyMirror} from '../membership/index.js';
import type {
  Mirror,
  MirrorEntry,
  MirrorStep,
  ReceivedObject,
} from '../membership/index.js';

/** The mirror of a daemon, which reports each changed object. */
export interface Objects {
  readonly mirror: () => Mirror;
  /** Version of an object as known; 0 when it is not. */
  readonly version: (key: string) => number;
  readonly receive: (objects: readonly ReceivedObject[]) => void;
  /** Takes an object that this daemon wrote or read itself. */
  readonly learn: (object: ReceivedObject) => void;
}

/**
 * Creates the mirror of a daemon.
 *
 * @example
 * const objects = createObjects(entry => console.log(entry.key));
 */
export function createObjects(changed: (entry: MirrorEntry) => void): Objects {
  let current = emptyMirror();
  const apply = (step: MirrorStep) => {
    current = step.mirror;
    step.changed.forEach(changed);
  };
  return {
    mirror: () => current,
    version: key => current.entries.get(key)?.version ?? 0,
    receive: objects => apply(applyFeed(current, objects)),
    learn: object => apply(applyDirect(current, object)),
  };
}
