import {formatAddress} from '../model/index.js';
import {
  QUARANTINE_PATH,
  RELEASE_PATH,
  fetchFromPeer,
  type QuarantineList,
} from '../sidecar/index.js';
import type {QuarantineReport} from '../quarantine/index.js';
import type {Context} from './context.js';
import {EXIT, UsageError, failure, type Result} from './result.js';
import {formatTable} from './table.js';

/** Time limit of a request to a daemon, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2000;

const HEADINGS = [
  'FINGERPRINT',
  'SERVICE',
  'TRIAL IN',
  'FAILED TRIALS',
  'REQUEST',
  'ENDED INSTANCES',
] as const;

/**
 * Lists the requests that a daemon keeps in quarantine, or releases one of them
 * on all daemons.
 *
 * @param released Fingerprint of the request to release, if any.
 * @throws {UsageError} when the `--daemon` option is missing.
 *
 * @example
 * (await quarantine(context)).lines;
 */
export async function quarantine(
  {daemon: address}: Pick<Context, 'daemon'>,
  released?: string,
): Promise<Result> {
  if (!address) throw new UsageError('--daemon is missing');
  const daemon = formatAddress(address);
  if (released !== undefined) return release(daemon, released);
  const answer = await fetchFromPeer<QuarantineList>(
    daemon,
    QUARANTINE_PATH,
    REQUEST_TIMEOUT_MS,
  );
  if (!answer) {
    return failure(EXIT.unreachable, `${daemon} did not answer`);
  }
  const {requests} = answer;
  if (requests.length === 0) {
    const lines = ['no request is in quarantine'];
    return {code: EXIT.ok, lines, report: {requests}};
  }
  const lines = formatTable([HEADINGS, ...requests.map(rowOf)]);
  return {code: EXIT.ok, lines, report: {requests}};
}

async function release(daemon: string, fingerprint: string): Promise<Result> {
  try {
    const {status} = await fetch(`http://${daemon}${RELEASE_PATH}`, {
      method: 'POST',
      body: fingerprint,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    if (status === 200) {
      const lines = [`released ${fingerprint}`];
      return {code: EXIT.ok, lines, report: {released: fingerprint}};
    }
    const message = `${fingerprint} is not in quarantine at ${daemon}`;
    return failure(EXIT.refused, message);
  } catch (error) {
    const {message} = error as Error;
    return failure(EXIT.unreachable, `${daemon} did not answer: ${message}`);
  }
}

const MS_PER_SECOND = 1000;

function rowOf(report: QuarantineReport): readonly string[] {
  const {fingerprint, service, trialInMs, failedTrials, address, lives} =
    report;
  return [
    fingerprint,
    service,
    `${Math.round(trialInMs / MS_PER_SECOND)} s`,
    String(failedTrials),
    address,
    lives.join(', '),
  ];
}
