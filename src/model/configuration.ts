import type {Address} from './address.js';
import type {Fencing} from './member.js';

/** Where the key of a request is found. Exactly one field is set. */
export interface KeySource {
  /** Path with one `{key}` segment, such as `/rota/{key}`. */
  readonly path?: string;
  /** Name of a request header, in lower case. */
  readonly header?: string;
}

/** Relative importance of the three measures of placement. */
export interface Weights {
  readonly imbalance: number;
  readonly churn: number;
  readonly unavailable: number;
}

/** The part of a service's traffic that the old address still serves. */
export interface Handover {
  readonly oldAddress: Address;
  /** Share of the keys, from 0 to 1, that vanillaspool serves. */
  readonly share: number;
  /** Key prefixes that vanillaspool serves whatever the share. */
  readonly prefixes: readonly string[];
}

/** One declared service. */
export interface Service {
  readonly name: string;
  /** Requests whose path begins with this prefix belong to the service. */
  readonly pathPrefix: string;
  /** Absent for a service whose requests any of its instances may execute. */
  readonly key?: KeySource;
  /** Number of slices, a power of two. */
  readonly slices: number;
  /** Number of platform objects that hold the slices, a power of two. */
  readonly chunks: number;
  /** Requests of a lower number are admitted first. */
  readonly priority: number;
  /** Time limit of a request that states none, in milliseconds. */
  readonly deadlineMs: number;
  readonly fencing: Fencing;
  /** Standing successors recorded for each slice. */
  readonly successors: number;
  readonly handover?: Handover;
}

/** Limits on what callers may send. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly connections: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  /** Requests waiting for a slot at one owner. */
  readonly queue: number;
  /** Share of retries among forwarded requests, from 0 to 1. */
  readonly retryShare: number;
}

/** The effective configuration of one site. */
export interface Configuration {
  readonly site: string;
  readonly services: readonly Service[];
  readonly limits: Limits;
  readonly weights: Weights;
}

/** An accepted configuration of all sites, as kept on the platform. */
export interface AcceptedConfiguration {
  /** Grows by one with each accepted change. */
  readonly version: number;
  /** Random identifier of the change, to resolve a put whose answer was lost. */
  readonly change: string;
  readonly author: string;
  /** Time of acceptance in ISO 8601 form. */
  readonly acceptedAt: string;
  readonly sites: readonly Configuration[];
}
