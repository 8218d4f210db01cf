import {Agent, request} from 'undici';
import {formatAddress} from '../model/index.js';
import type {Address} from '../model/index.js';
import type {GrantRequest} from '../ownership/index.js';
import type {Upstream} from '../upstream/index.js';

/** Interval between two health checks of the upstream. */
const CHECK_INTERVAL_MS = 150;

/** Timeout of a health check or a grant. */
const RESPONSE_TIMEOUT_MS = 300;

/** Consecutive failed checks after which the upstream counts as lost. */
const FAILURE_THRESHOLD = 2;

/**
 * Connection to the local upstream: announcements, health checks and grants.
 */
export interface UpstreamLink {
  readonly upstream: () => Upstream | undefined;
  readonly isHealthy: () => boolean;
  /** Returns whether the upstream has stated that it is shutting down. */
  readonly isLeaving: () => boolean;
  /** Records that the upstream is shutting down. */
  readonly markLeaving: () => void;
  /** Records an announcement of the upstream. */
  readonly announce: (upstream: Upstream) => void;
  /** Sends a grant and resolves with the upstream's clock in milliseconds. */
  readonly grant: (process: string, grant: GrantRequest) => Promise<number>;
  readonly close: () => Promise<void>;
}

/** Kind of a change of the upstream. */
export type UpstreamChange = 'announced' | 'leaving' | 'lost' | 'recovered';

/**
 * Creates the link to the local upstream. A health check passes with any HTTP
 * response, whatever the health endpoint reports, because that report may be
 * outdated or misleading.
 *
 * @example
 * const link = createUpstreamLink(change => log(change));
 */
export function createUpstreamLink(
  onChange: (change: UpstreamChange) => void,
): UpstreamLink {
  const agent = new Agent({connections: 2, pipelining: 1});
  let upstream: Upstream | undefined;
  let failures = 0;
  let isHealthy = false;
  let isLeaving = false;
  const recordCheck = (isAnswered: boolean, isRefused: boolean) => {
    failures = isAnswered ? 0 : failures + 1;
    const isLost = isRefused || failures >= FAILURE_THRESHOLD;
    if (isAnswered && !isHealthy) {
      isHealthy = true;
      onChange('recovered');
    } else if (!isAnswered && isLost && isHealthy) {
      isHealthy = false;
      // A later response from this address comes from a new process.
      isLeaving = false;
      onChange('lost');
    }
  };
  const timer = setInterval(() => {
    if (!upstream) return;
    void checkHealth(agent, upstream.address).then(result =>
      recordCheck(result === 'answered', result === 'refused'),
    );
  }, CHECK_INTERVAL_MS);
  return {
    upstream: () => upstream,
    isHealthy: () => isHealthy,
    isLeaving: () => isLeaving,
    markLeaving: () => {
      if (isLeaving) return;
      isLeaving = true;
      onChange('leaving');
    },
    announce: announced => {
      const isNew = !upstream || !sameUpstream(upstream, announced);
      upstream = announced;
      failures = 0;
      if (isNew) isHealthy = true;
      if (isNew) isLeaving = false;
      if (isNew) onChange('announced');
    },
    grant: (process, grant) => sendGrant(agent, upstream, process, grant),
    close: async () => {
      clearInterval(timer);
      await agent.destroy();
    },
  };
}

/** Outcome of a health check; `refused` means that no process listens there. */
type CheckResult = 'answered' | 'refused' | 'failed';

async function checkHealth(
  agent: Agent,
  address: Address,
): Promise<CheckResult> {
  try {
    const answer = await request(`http://${formatAddress(address)}/health`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    await answer.body.dump();
    return 'answered';
  } catch (error) {
    const {code} = error as {code?: string};
    return code === 'ECONNREFUSED' ? 'refused' : 'failed';
  }
}

async function sendGrant(
  agent: Agent,
  upstream: Upstream | undefined,
  process: string,
  grant: GrantRequest,
): Promise<number> {
  if (!upstream)
    throw new RangeError('grant not sent: no upstream has been announced');
  const url = `http://${formatAddress(upstream.address)}/grants`;
  const slices = grant.slices.map(({slice, epoch}) => ({slice, epoch}));
  const {sequence, until} = grant;
  const answer = await request(url, {
    dispatcher: agent,
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({process, sequence, until, slices}),
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
  });
  const body = (await answer.body.json()) as {clock?: number};
  if (answer.statusCode !== 200 || typeof body.clock !== 'number') {
    throw new RangeError(
      `grant failed: expected status 200 with a clock, got status ${answer.statusCode}`,
    );
  }
  return body.clock;
}

function sameUpstream(a: Upstream, b: Upstream): boolean {
  return (
    a.service === b.service &&
    formatAddress(a.address) === formatAddress(b.address) &&
    a.slots === b.slots &&
    a.connections === b.connections
  );
}
