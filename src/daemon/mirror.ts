import {applyFeed, applyDirect, emptyMirror} from '../membership/index.js';
import type {
  Mirror,
  MirrorEntry,
  MirrorStep,
  ReceivedObject,
} from '../membership/index.js';

/** Local copy of the platform's objects that reports each change. */
export interface ObjectMirror {
  readonly mirror: () => Mirror;
  /** Returns the known version of an object, or 0 if the object is unknown. */
  readonly version: (key: string) => number;
  /** Records objects received from the feed. */
  readonly recordFeed: (objects: readonly ReceivedObject[]) => void;
  /** Records an object that this daemon wrote or read itself. */
  readonly recordDirect: (object: ReceivedObject) => void;
}

/**
 * Creates an empty mirror.
 *
 * @param onChange Called with each object that changed.
 *
 * @example
 * const objects = createObjectMirror(entry => console.log(entry.key));
 */
export function createObjectMirror(
  onChange: (entry: MirrorEntry) => void,
): ObjectMirror {
  let current = emptyMirror();
  const apply = (step: MirrorStep) => {
    current = step.mirror;
    step.changed.forEach(onChange);
  };
  return {
    mirror: () => current,
    version: key => current.entries.get(key)?.version ?? 0,
    recordFeed: objects => apply(applyFeed(current, objects)),
    recordDirect: object => apply(applyDirect(current, object)),
  };
}
