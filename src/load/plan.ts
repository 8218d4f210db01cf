import type {Method, RequestKind} from './kind.js';
import {createRandom, type Random} from './random.js';
import {createZipf} from './zipf.js';

/** What a load is drawn from. */
export interface Workload {
  /** Names the run in the identifiers of its requests. */
  readonly run: string;
  readonly kinds: readonly RequestKind[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** Number of different keys. */
  readonly keys: number;
  /** Exponent of the Zipf distribution of the keys. */
  readonly skew: number;
  readonly seed: number;
}

/** One request of a load, known before the load starts. */
export interface PlannedRequest {
  /** Identifier, part of the path and its idempotency key. */
  readonly id: string;
  /** Time at which it is sent, in milliseconds after the start. */
  readonly dueMs: number;
  readonly method: Method;
  /** Path with its query, which contains the identifier. */
  readonly path: string;
  /** Path of its kind, with `{key}` in it. */
  readonly kind: string;
  /** Absent for a request without a key. */
  readonly key?: string;
  /** Header that carries the key, if one does. */
  readonly keyHeader?: string;
  readonly bodyBytes: number;
  /** A number from 0 to 1 that chooses the daemon where the request enters. */
  readonly entry: number;
}

/**
 * Draws the requests of a load in order of time. Arrivals are a Poisson
 * process, so they do not depend on the answers.
 *
 * @throws {RangeError} when the rate, the time or the mix is not positive.
 *
 * @example
 * for (const request of planRequests(workload)) console.log(request.path);
 */
export function* planRequests(workload: Workload): Generator<PlannedRequest> {
  checkWorkload(workload);
  const random = createRandom(workload.seed);
  const drawRank = createZipf(workload.keys, workload.skew);
  const endMs = workload.seconds * 1000;
  let dueMs = 0;
  for (let number = 0; ; number++) {
    dueMs += (-Math.log(1 - random()) * 1000) / workload.requestsPerSecond;
    if (dueMs >= endMs) return;
    const kind = drawKind(workload.kinds, random);
    const key = `key-${drawRank(random)}`;
    const id = `${workload.run}-${number}`;
    const entry = random();
    yield {id, dueMs, entry, ...fillKind(kind, key, id)};
  }
}

function checkWorkload(workload: Workload): void {
  const {kinds, requestsPerSecond, seconds} = workload;
  if (!(requestsPerSecond > 0)) {
    throw new RangeError(`not a rate: ${requestsPerSecond}`);
  }
  if (!(seconds > 0)) throw new RangeError(`not a time: ${seconds}`);
  if (kinds.length === 0)
    throw new RangeError('a load needs a kind of request');
}

function drawKind(kinds: readonly RequestKind[], random: Random): RequestKind {
  const total = kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let remaining = random() * total;
  for (const kind of kinds) {
    remaining -= kind.weight;
    if (remaining < 0) return kind;
  }
  return kinds[kinds.length - 1];
}

function fillKind(kind: RequestKind, key: string, id: string) {
  const {method, path, bodyBytes, keyHeader} = kind;
  const isKeyed = keyHeader !== undefined || path.includes('{key}');
  const filled = path.replace('{key}', encodeURIComponent(key));
  const separator = filled.includes('?') ? '&' : '?';
  return {
    method,
    kind: path,
    key: isKeyed ? key : undefined,
    keyHeader,
    path: `${filled}${separator}request=${id}`,
    bodyBytes,
  };
}
