import type {Method, RequestKind} from './kind.js';
import {createRandom, type Random} from './random.js';
import {createZipf} from './zipf.js';

/** Parameters of a generated load. */
export interface Workload {
  /** Name of the run; prefixes the identifiers of its requests. */
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

/** One request of a load, generated independently of the answers. */
export interface PlannedRequest {
  /** Identifier, part of the path and the idempotency key of the request. */
  readonly id: string;
  /** Scheduled time of sending, in milliseconds since the start. */
  readonly dueMs: number;
  readonly method: Method;
  /** Path and query; the query contains the identifier. */
  readonly path: string;
  /** Path pattern of the request kind, in which `{key}` is not replaced. */
  readonly kind: string;
  /** Absent for a request without a key. */
  readonly key?: string;
  /** Header that carries the key, if any. */
  readonly keyHeader?: string;
  readonly bodyBytes: number;
  /** Number from 0 to 1 that selects the target of the first attempt. */
  readonly entry: number;
}

/**
 * Generates the requests of a load in order of time. Arrivals follow a Poisson
 * process and do not depend on the answers.
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
    throw new RangeError(
      `request rate must be above 0, got ${requestsPerSecond}`,
    );
  }
  if (!(seconds > 0))
    throw new RangeError(`load duration must be above 0 s, got ${seconds}`);
  if (kinds.length === 0)
    throw new RangeError('expected at least one kind of request, found none');
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
