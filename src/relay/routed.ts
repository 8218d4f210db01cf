import type {FleetView} from '../fleet/index.js';
import type {RequestContent} from '../quarantine/index.js';
import type {RequestBody} from './body.js';
import type {Route, RoutedConfiguration, RouteTable} from './configuration.js';
import type {CallerRequest} from './dialect.js';
import type {ForwardContext} from './forward.js';
import type {HolderRefusals} from './holder.js';
import type {AnswerLengths} from './lengths.js';
import type {LocalContext} from './local.js';
import type {InstanceNotices} from './notices.js';
import type {OverloadRefusals} from './overload.js';
import type {CallerRetries, RequestIdentity} from './retries.js';
import {contentOf, type Flow} from './work.js';

/** A configuration with its route table. */
export interface ActiveConfiguration extends RoutedConfiguration {
  readonly table: RouteTable;
}

/** Dependencies for handling requests of callers. */
export interface IngressContext extends LocalContext, ForwardContext {
  readonly node: string;
  readonly domain: string;
  /**
   * Returns the service of the instance beside the daemon that receives the
   * requests.
   */
  readonly callerService: () => string;
  readonly configuration: () => ActiveConfiguration | undefined;
  readonly view: () => FleetView;
  readonly viewChanged: () => Promise<unknown>;
  readonly service: (route: Route) => string;
  readonly callerRetries: CallerRetries;
  readonly instanceNotices: InstanceNotices;
  readonly holderRefusals: HolderRefusals;
  readonly answerLengths: AnswerLengths;
  readonly overloadRefusals: OverloadRefusals;
  /**
   * Spends one retry to a service from the retry budget; returns false if none
   * is left.
   *
   * @param canCallerRetry The caller has time to retry the request itself.
   */
  readonly retryAllowed: (service: string, canCallerRetry: boolean) => boolean;
  /** Tells whether `retryAllowed` would allow a retry now. */
  readonly hasRetry: (service: string, canCallerRetry: boolean) => boolean;
  /** Counts a request to a service towards its retry budget. */
  readonly countRequest: (service: string) => void;
  readonly requestEnded: (outcome: RequestResult) => void;
}

/** Result of a request of a caller. */
export interface RequestResult {
  readonly service: string;
  readonly route: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken' | 'cancelled';
  readonly reason: string;
  readonly timeMs: number;
  /** Answered by the latency objective, counted from the first attempt. */
  readonly isInTime: boolean;
}

/**
 * A request of a caller after its route is known, and the state of its
 * attempts.
 */
export interface RoutedRequest {
  readonly flow: Flow;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly body: RequestBody;
  readonly startedAt: number;
  readonly deadlineAt: number;
  /** Time of the first attempt of the caller. */
  readonly firstAt: number;
  readonly identity: RequestIdentity;
  readonly method: string;
  readonly target: string;
  /** Daemons that refused the request. */
  readonly refusedBy: Set<string>;
  /** Instances to which the request may have been sent. */
  readonly sentTo: Set<string>;
  forwardCount: number;
  waitUntil: number;
  /**
   * Shortest time after which one of the daemons that refused expects free
   * capacity.
   */
  retryAfterMs?: number;
}

/**
 * Returns what identifies a routed request when it comes again.
 *
 * @example
 * context.quarantine.verdict(contentOfRouted(routed));
 */
export function contentOfRouted({
  method,
  target,
  caller,
  body,
}: RoutedRequest): RequestContent {
  const {host, key} = caller;
  return contentOf({method, host, target, key, body});
}

/** Retry-After if no instance is known, in milliseconds. */
export const NO_HOLDER_RETRY_MS = 500;
