import type {Member, Service, Weights} from '../../src/model/index.js';

/** What a policy sees when it places the slices. */
export interface Snapshot {
  readonly now: number;
  readonly service: Service;
  readonly weights: Weights;
  /** Registered members, those that drain or have ended included. */
  readonly members: readonly Member[];
  /** Smoothed load of each slice in slots, as its owner measured it. */
  readonly loads: Float64Array;
  /** Whether a member joined, drains or was lost since the last call. */
  readonly hasChanged: boolean;
}

/** Returns the owner of each slice; called once a step, in order of time. */
export type Policy = (view: Snapshot) => readonly string[];

/** A policy by name; `create` starts it without any history. */
export interface NamedPolicy {
  readonly name: string;
  readonly create: () => Policy;
}
