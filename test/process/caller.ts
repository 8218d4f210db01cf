import {createHash} from 'node:crypto';
import {Agent, request} from 'undici';
import {formatAddress, type Address} from '../../src/model/index.js';
import type {Echo} from '../../standin/upstream/answer.js';

/** Time between two writes, in milliseconds. */
const WRITE_INTERVAL_MS = 10;

/** Time limit that the caller states, in milliseconds. */
const DEADLINE_MS = 2000;

/** Time after which the caller gives up, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 4000;

/** Keys that are written in turn. */
export const KEYS: readonly string[] = Array.from(
  {length: 48},
  (_, index) => `key-${index}`,
);

/** How a write ended from the caller's view. */
export type Ending =
  | {readonly kind: 'answered'; readonly isOwn: boolean}
  | {readonly kind: 'not-run'; readonly reason: string}
  | {readonly kind: 'unknown'; readonly reason: string};

/** One write and how it ended. */
export interface Write {
  readonly path: string;
  readonly key: string;
  readonly entry: Address;
  readonly ending: Ending;
}

/** Sends writes that may not be repeated, all the time. */
export interface Caller {
  readonly writes: () => readonly Write[];
  /** Sends one write now. */
  readonly write: (entry: Address, key: string) => Promise<Write>;
  /** Stops sending and waits for the writes in flight. */
  readonly stop: () => Promise<void>;
}

/**
 * Starts a caller.
 *
 * @param entries Addresses that it sends to in turn.
 *
 * @example
 * const caller = startCaller(() => [address]);
 */
export function startCaller(entries: () => readonly Address[]): Caller {
  const agent = new Agent({connections: 64, pipelining: 1});
  const writes: Write[] = [];
  const inFlight = new Set<Promise<Write>>();
  let number = 0;
  const write = (entry: Address, key: string) => {
    const path = `/ledger/${key}?number=${++number}`;
    const pending = send(agent, entry, path).then(ending => {
      const ended = {path, key, entry, ending};
      writes.push(ended);
      return ended;
    });
    inFlight.add(pending);
    void pending.finally(() => inFlight.delete(pending));
    return pending;
  };
  const timer = setInterval(() => {
    const targets = entries();
    if (targets.length === 0) return;
    void write(
      targets[number % targets.length],
      KEYS[(number * 7) % KEYS.length],
    );
  }, WRITE_INTERVAL_MS);
  return {
    writes: () => writes,
    write,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(inFlight);
      await agent.destroy();
    },
  };
}

async function send(
  agent: Agent,
  entry: Address,
  path: string,
): Promise<Ending> {
  const body = `body of ${path}`;
  try {
    const answer = await request(`http://${formatAddress(entry)}${path}`, {
      dispatcher: agent,
      method: 'POST',
      headers: {'vanillaspool-deadline': String(DEADLINE_MS)},
      body,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const text = await answer.body.text();
    if (answer.statusCode === 200) {
      return {kind: 'answered', isOwn: isProofOf(text, path, body)};
    }
    const outcome = answer.headers['vanillaspool-outcome'];
    const kind = outcome === 'not-run' ? 'not-run' : 'unknown';
    return {kind, reason: `${answer.statusCode} ${text.trim()}`};
  } catch (error) {
    const {code, name} = error as {code?: string; name: string};
    const kind = code === 'ECONNREFUSED' ? 'not-run' : 'unknown';
    return {kind, reason: code ?? name};
  }
}

function isProofOf(text: string, path: string, body: string): boolean {
  const proof = JSON.parse(text) as Echo;
  const hash = createHash('sha256').update(body).digest('hex');
  return proof.path === path && proof.bodyHash === hash;
}
