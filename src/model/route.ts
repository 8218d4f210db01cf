import type {Member} from './member.js';

/** This instance owns the slice and may send the request to its upstream. */
export interface LocalRoute {
  readonly kind: 'local';
  readonly epoch: number;
}

/**
 * This instance is about to own the slice; the request waits until the term
 * begins.
 */
export interface WaitRoute {
  readonly kind: 'wait';
}

/** Another instance may own the slice. The most likely owner comes first. */
export interface RemoteRoute {
  readonly kind: 'remote';
  readonly candidates: readonly Member[];
  /** Highest epoch of the slice known to this daemon. */
  readonly epoch: number;
}

/** No owner of the slice is known. */
export interface NoRoute {
  readonly kind: 'none';
}

/** The next destination of a keyed request. */
export type Route = LocalRoute | WaitRoute | RemoteRoute | NoRoute;

/** The ownership state as queried by the request path. */
export interface Ownership {
  /** Returns the route for requests of a slice. */
  readonly route: (service: string, slice: number) => Route;
  /** Returns the members that serve a service, including this instance. */
  readonly members: (service: string) => readonly Member[];
  /**
   * Returns whether this instance currently holds the slice under the epoch.
   */
  readonly holdsTerm: (
    service: string,
    slice: number,
    epoch: number,
  ) => boolean;
  /**
   * Counts a request of a slice as in flight until the returned function is
   * called.
   */
  readonly trackRequest: (service: string, slice: number) => () => void;
  /** Resolves when the route of the slice may have changed. */
  readonly routeChanged: (service: string, slice: number) => Promise<void>;
  /** Reports that a request could not reach a member. */
  readonly reportUnreachable: (instance: string) => void;
}
