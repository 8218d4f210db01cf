import {applyFeed, applyDirect, emptyMirror} from '../membership/index.js';
import type {
  Mirror,
  MirrorEntry,
  MirrorStep,
  ReceivedObject,
} from '../membership/index.js';

/** The mirror of a daemon, which reports each changed object. */
export interface ObjectMirror {
  readonly mirror: () => Mirror;
  /** Version of an object as known; 0 when it is not. */
  readonly version: (key: string) => number;
  readonly recordFeed: (objects: readonly ReceivedObject[]) => void;
  /** Takes an object that this daemon wrote or read itself. */
  readonly recordDirect: (object: ReceivedObject) => void;
}

/**
 * Creates the mirror of a daemon.
 *
 * @example
 * const objects = createObjects(entry => console.log(entry.key));
 */
export function createObjectMirror(
  changed: (entry: MirrorEntry) => void,
): ObjectMirror {
  let current = emptyMirror();
  const apply = (step: MirrorStep) => {
    current = step.mirror;
    step.changed.forEach(changed);
  };
  return {
    mirror: () => current,
    version: key => current.entries.get(key)?.version ?? 0,
    recordFeed: objects => apply(applyFeed(current, objects)),
    recordDirect: object => apply(applyDirect(current, object)),
  };
}
