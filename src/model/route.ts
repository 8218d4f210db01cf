import type {Member} from './member.js';

/** This daemon owns the slice and may send the request to its upstream. */
export interface LocalRoute {
  readonly kind: 'local';
  readonly epoch: number;
}

/** This daemon is about to own the slice; the request waits for the term. */
export interface WaitRoute {
  readonly kind: 'wait';
}

/** Other daemons that may own the slice, the most likely one first. */
export interface RemoteRoute {
  readonly kind: 'remote';
  readonly candidates: readonly Member[];
  /** The highest epoch that this daemon knows for the slice. */
  readonly epoch: number;
}

/** No instance is recorded for the slice. */
export interface NoRoute {
  readonly kind: 'none';
}

/** Where a keyed request goes next. */
export type Route = LocalRoute | WaitRoute | RemoteRoute | NoRoute;

/** What the request path asks of the ownership state of its daemon. */
export interface Ownership {
  /** Finds where the requests of a slice go. */
  readonly route: (service: string, slice: number) => Route;
  /** Members that serve a service, this daemon's own included. */
  readonly members: (service: string) => readonly Member[];
  /** Tells whether a term is still in force at this daemon, as of now. */
  readonly holdsTerm: (
    service: string,
    slice: number,
    epoch: number,
  ) => boolean;
  /** Counts a request of a slice as in flight; call the result once to end it. */
  readonly trackRequest: (service: string, slice: number) => () => void;
  /** Resolves when the route of the slice may have changed. */
  readonly routeChanged: (service: string, slice: number) => Promise<void>;
  /** Reports that a member could not be reached by a request. */
  readonly reportUnreachable: (instance: string) => void;
}
