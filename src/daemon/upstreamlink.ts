import {Agent, request} from 'undici';
import {formatAddress} from '../model/index.js';
import type {Address} from '../model/index.js';
import type {GrantRequest} from '../ownership/index.js';
import type {Upstream} from '../upstream/index.js';

/** Time between two checks that the upstream answers, in milliseconds. */
const CHECK_INTERVAL_MS = 150;

/** Time limit of a check or of a grant, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 300;

/** Checks in a row without an answer after which the upstream counts as lost. */
const FAILURE_THRESHOLD = 2;

/** What the daemon knows of the upstream beside it. */
export interface UpstreamLink {
  readonly upstream: () => Upstream | undefined;
  readonly isHealthy: () => boolean;
  /** The upstream has said that it is about to end. */
  readonly isLeaving: () => boolean;
  /** Takes that the upstream says that it is about to end. */
  readonly markLeaving: () => void;
  /** Takes an announcement of the upstream. */
  readonly announce: (upstream: Upstream) => void;
  /** Sends a grant; resolves with the upstream's clock, in milliseconds. */
  readonly grant: (process: string, grant: GrantRequest) => Promise<number>;
  readonly close: () => Promise<void>;
}

/** What happened to the upstream. */
export type UpstreamChange = 'announced' | 'leaving' | 'lost' | 'recovered';

/**
 * Watches the upstream beside the daemon. Only whether it answers counts, not
 * what its health endpoint says, since that may lag or mislead.
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
      // What answers at this address from now on is another life.
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

type CheckResult = 'answered' | 'refused' | 'silent';

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
    return code === 'ECONNREFUSED' ? 'refused' : 'silent';
  }
}

async function sendGrant(
  agent: Agent,
  upstream: Upstream | undefined,
  process: string,
  grant: GrantRequest,
): Promise<number> {
  if (!upstream) throw new RangeError('no upstream is announced');
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
    throw new RangeError(`grant was answered with ${answer.statusCode}`);
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
