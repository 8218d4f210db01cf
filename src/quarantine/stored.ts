import type {QuarantinedRequest} from './state.js';

/** A quarantined request in the store. */
export interface StoredRequest extends Omit<QuarantinedRequest, 'service'> {
  /** Begin of the quarantine, in Unix milliseconds, for operators. */
  readonly since: number;
  /** It was answered in a trial, or released by an operator. */
  readonly isReleased: boolean;
}

/** The quarantined requests of a service, as the store keeps them. */
export interface StoredQuarantine {
  readonly requests: readonly StoredRequest[];
}

/** Largest number of requests of a service that the store keeps. */
const MAX_STORED = 128;

/**
 * Parses stored quarantined requests.
 *
 * @returns the requests, or the reason why the text is not valid.
 *
 * @example
 * const stored = parseQuarantine(text);
 */
export function parseQuarantine(
  text: string,
): StoredQuarantine | {readonly problem: string} {
  let value: Partial<StoredQuarantine> | null;
  try {
    value = JSON.parse(text) as Partial<StoredQuarantine> | null;
  } catch (error) {
    const {message} = error as Error;
    return {problem: `expected quarantined requests in JSON: ${message}`};
  }
  const {requests} = value ?? {};
  if (!Array.isArray(requests)) {
    return {problem: 'expected a list in field requests of the quarantine'};
  }
  const invalid = requests.findIndex(request => !isStoredRequest(request));
  if (invalid >= 0) {
    return {
      problem: `expected fingerprint, address, lives, since and isReleased in requests[${invalid}] of the quarantine`,
    };
  }
  return {requests};
}

function isStoredRequest(value: unknown): value is StoredRequest {
  const {fingerprint, address, lives, since, isReleased} = (value ??
    {}) as Partial<StoredRequest>;
  return (
    typeof fingerprint === 'string' &&
    typeof address === 'string' &&
    Array.isArray(lives) &&
    lives.every(life => typeof life === 'string') &&
    typeof since === 'number' &&
    typeof isReleased === 'boolean'
  );
}

/**
 * Adds or replaces a request. The oldest released requests, then the oldest
 * others, are dropped beyond 128.
 *
 * @example
 * const next = withRequest(stored, request);
 */
export function withRequest(
  {requests}: StoredQuarantine,
  request: StoredRequest,
): StoredQuarantine {
  const others = requests.filter(
    ({fingerprint}) => fingerprint !== request.fingerprint,
  );
  const excess = others.length + 1 - MAX_STORED;
  if (excess <= 0) return {requests: [...others, request]};
  const dropped = new Set(
    [...others]
      .sort(
        (a, b) =>
          Number(b.isReleased) - Number(a.isReleased) || a.since - b.since,
      )
      .slice(0, excess),
  );
  const kept = others.filter(other => !dropped.has(other));
  return {requests: [...kept, request]};
}

/**
 * Returns whether a request was released on the evidence against it.
 *
 * @example
 * hasRelease(stored, request);
 */
export function hasRelease(
  {requests}: StoredQuarantine,
  {fingerprint, lives}: Pick<StoredRequest, 'fingerprint' | 'lives'>,
): boolean {
  const known = requests.find(request => request.fingerprint === fingerprint);
  return (
    known?.isReleased === true &&
    lives.every(life => known.lives.includes(life))
  );
}

/**
 * Returns the stored requests with the releases that are known, for a store that has
 * come back from a copy of before them.
 *
 * @returns the same object if it lacks none.
 *
 * @example
 * const inForce = withReleases(stored, known);
 */
export function withReleases(
  stored: StoredQuarantine,
  known: StoredQuarantine,
): StoredQuarantine {
  const inForce = stored.requests.map(request => {
    if (request.isReleased || !hasRelease(known, request)) return request;
    const {fingerprint} = request;
    return known.requests.find(r => r.fingerprint === fingerprint) ?? request;
  });
  const isSame = inForce.every((request, i) => request === stored.requests[i]);
  return isSame ? stored : {requests: inForce};
}
