import type {Member, Service, Weights} from '../../src/model/index.js';

/** State of a service at one time, from which a policy places the slices. */
export interface Snapshot {
  readonly now: number;
  readonly service: Service;
  readonly weights: Weights;
  /** All registered members, including draining and ended ones. */
  readonly members: readonly Member[];
  /** Smoothed load of each slice in slots, as measured by its owner. */
  readonly loads: Float64Array;
  /**
   * Whether a member joined, started draining or was lost since the last call.
   */
  readonly hasChanged: boolean;
}

/** Returns the owner of each slice. Called once per step, in order of time. */
export type Policy = (view: Snapshot) => readonly string[];

/** A named policy; `create` returns a new one without state. */
export interface NamedPolicy {
  readonly name: string;
  readonly create: () => Policy;
}
