import {
  MAX_ENTRIES,
  addressOf,
  comparedPart,
  fingerprintOf,
  type InFlight,
  type InstanceEnd,
  type Life,
} from '../quarantine/index.js';
import {RELAY_EVENTS, contentOf, type InstanceRun} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';

/**
 * Describes a request at the instance for other daemons.
 *
 * @example
 * describeRun({work, isAlone: false}).fingerprint.length; // 22
 */
export function describeRun({work, isAlone}: InstanceRun): InFlight {
  const content = contentOf(work);
  const address = comparedPart(addressOf(content));
  return {fingerprint: fingerprintOf(content), address, isAlone};
}

/**
 * Describes the unplanned end of an instance. Beyond the limit of a message, the
 * requests that were sent last are named.
 *
 * @example
 * endOf({id: 'i-7', born: 1764800000000}, 'stock', requests);
 */
export function endOf(
  {id, born}: Life,
  service: string,
  requests: readonly InFlight[],
): InstanceEnd {
  return {id, born, service, requests: requests.slice(-MAX_ENTRIES)};
}

/** Largest number of requests named in one line. */
const MAX_NAMED = 16;

/** Longest part of a request's address in the log. */
const MAX_ADDRESS_LENGTH = 120;

/**
 * Logs which requests were in flight when an instance ended.
 *
 * @example
 * logInstanceEnd(log, end);
 */
export function logInstanceEnd(log: Log, end: InstanceEnd): void {
  const {id, born, service, requests} = end;
  const inFlight = requests
    .slice(0, MAX_NAMED)
    .map(
      ({fingerprint, address}) =>
        `${fingerprint} ${address.slice(0, MAX_ADDRESS_LENGTH)}`,
    )
    .join('; ');
  const fields = {upstream: id, born, service, count: requests.length};
  log(RELAY_EVENTS.instanceEnded, {...fields, inFlight});
}
