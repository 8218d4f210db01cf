import type {Address} from './address.js';
import type {Fencing} from './member.js';

/** The part of a request that contains its key. Exactly one field is set. */
export interface KeySource {
  /** Path pattern with one `{key}` segment, such as `/rota/{key}`. */
  readonly path?: string;
  /** Name of a request header, in lower case. */
  readonly header?: string;
}

/** Relative weights of the three placement measures. */
export interface Weights {
  readonly imbalance: number;
  readonly churn: number;
  readonly unavailable: number;
}

/** Split of a service's traffic between its old address and vanillaspool. */
export interface Handover {
  readonly oldAddress: Address;
  /** Share of the keys that vanillaspool serves, from 0 to 1. */
  readonly share: number;
  /** Key prefixes that vanillaspool serves regardless of the share. */
  readonly prefixes: readonly string[];
}

/** A service declared in the configuration. */
export interface Service {
  readonly name: string;
  /** Requests whose path starts with this prefix belong to the service. */
  readonly pathPrefix: string;
  /**
   * Source of the key. Absent for an unkeyed service, whose requests any
   * instance may execute.
   */
  readonly key?: KeySource;
  /** Number of slices, a power of two. */
  readonly slices: number;
  /** Number of platform objects that store the slices, a power of two. */
  readonly chunks: number;
  /** Admission priority; requests with a lower number are admitted first. */
  readonly priority: number;
  /** Time limit of a request that specifies no deadline, in milliseconds. */
  readonly deadlineMs: number;
  readonly fencing: Fencing;
  /** Number of successors recorded for each slice. */
  readonly successors: number;
  readonly handover?: Handover;
}

/** Limits on requests and connections of callers. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly connections: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  /** Maximum number of requests that wait for a slot at one owner. */
  readonly queue: number;
  /** Retry budget: share of retries among forwards, from 0 to 1. */
  readonly retryShare: number;
}

/** The effective configuration of one site. */
export interface Configuration {
  readonly site: string;
  readonly services: readonly Service[];
  readonly limits: Limits;
  readonly weights: Weights;
}

/** The accepted configuration of all sites, as stored on the platform. */
export interface AcceptedConfiguration {
  /** Version number, incremented by each accepted change. */
  readonly version: number;
  /**
   * Random identifier of the change. A writer whose response was lost compares
   * it to find out whether its write took effect.
   */
  readonly change: string;
  readonly author: string;
  /** Time of acceptance in ISO 8601 form. */
  readonly acceptedAt: string;
  readonly sites: readonly Configuration[];
}
