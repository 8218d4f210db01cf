import {addressOf, fingerprintOf, type RequestContent} from './fingerprint.js';
import {MAX_ADDRESS_LENGTH, comparedPart, type InFlight} from './state.js';

/**
 * Number of answers that are remembered. Of a request that takes one in a hundred
 * of an instance's answers, three are among them nearly always, at any rate.
 */
export const MAX_REMEMBERED = 512;

/** The last requests that the instance beside a daemon answered. */
export interface RecentAnswers {
  /** Called for each answer: it only keeps a reference. */
  readonly record: (content: RequestContent) => void;
  /** Records that a suspicion has ended by an answer, or an operator. */
  readonly recordClear: (fingerprint: string) => void;
  /**
   * Adds how often the requests of an ended instance were answered, less the
   * suspicions that have ended in that time: what is answered about as often as
   * it is in flight at an end may cause some of them.
   */
  readonly countFor: (requests: readonly InFlight[]) => readonly InFlight[];
}

/**
 * Creates the memory of recent answers. Requests with a body are not remembered,
 * since it would have to be kept or compared, nor are those with a long address.
 *
 * @example
 * const answers = createRecentAnswers();
 * answers.record(content);
 * const counted = answers.countFor(end.requests);
 */
export function createRecentAnswers(): RecentAnswers {
  const remembered: RequestContent[] = [];
  let total = 0;
  let clears: {readonly fingerprint: string; readonly at: number}[] = [];

  /** Suspicions that ended while the remembered answers were given. */
  const clearsSince = (at: number, fingerprint: string) =>
    clears.filter(clear => clear.at > at && clear.fingerprint === fingerprint)
      .length;

  return {
    record: content => {
      const {hasBody, host, target} = content;
      if (hasBody || host.length + target.length > MAX_ADDRESS_LENGTH) return;
      remembered[total % MAX_REMEMBERED] = content;
      total += 1;
    },
    recordClear: fingerprint => {
      clears.push({fingerprint, at: total});
      clears = clears.slice(-MAX_REMEMBERED);
    },
    countFor: requests => {
      const wanted = new Set(
        requests.map(({address}) => comparedPart(address)),
      );
      const counts = new Map<
        string,
        {content: RequestContent; count: number}
      >();
      for (const content of remembered) {
        const address = addressOf(content);
        if (!wanted.has(comparedPart(address))) continue;
        const count = (counts.get(address)?.count ?? 0) + 1;
        counts.set(address, {content, count});
      }
      const answers = new Map(
        [...counts.values()].map(({content, count}) => [
          fingerprintOf(content),
          count,
        ]),
      );
      return requests.map(request => {
        const {fingerprint} = request;
        const count = answers.get(fingerprint);
        if (count === undefined) return request;
        const cleared = clearsSince(total - MAX_REMEMBERED, fingerprint);
        return {...request, answers: Math.max(0, count - cleared)};
      });
    },
  };
}
