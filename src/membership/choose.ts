import {rankByRendezvous} from '../model/index.js';
import type {Member, Witness} from '../model/index.js';

/**
 * Number of instances of each failure domain that watch the platform on behalf
 * of the others.
 */
export const RELAYS_PER_DOMAIN = 2;

/** Region and failure domain of an instance. */
export interface Location {
  readonly instance: string;
  readonly region: string;
  readonly domain: string;
}

/**
 * Chooses the witnesses of a lease holder from the serving members of its
 * region. They are spread over as many failure domains as possible: each added
 * witness comes from a domain with the fewest witnesses so far; among equal
 * domains, the holder's own comes last.
 *
 * @param count Odd target size, including kept witnesses; if too few members
 *     exist, the largest possible odd number of witnesses is returned.
 * @param kept Witnesses to keep, so that a replacement changes as little as
 *     possible.
 *
 * @example
 * chooseWitnesses({instance: 'a', region: 'r', domain: 'd1'}, members, 3);
 */
export function chooseWitnesses(
  holder: Location,
  members: readonly Member[],
  count: number,
  kept: readonly Witness[] = [],
): readonly Witness[] {
  const eligible = members.filter(
    member =>
      member.instance !== holder.instance &&
      member.region === holder.region &&
      member.state === 'serving',
  );
  const ranked = rankByRendezvous(
    `witness ${holder.instance}`,
    eligible,
    member => member.instance,
  );
  const keptInstances = new Set(kept.map(({instance}) => instance));
  const additional = ranked.filter(
    ({instance}) => !keptInstances.has(instance),
  );
  const chosen = spreadOverDomains(
    additional.map(toWitness),
    kept,
    holder.domain,
    count,
  );
  return chosen.slice(0, largestOddCount(chosen.length, count));
}

/**
 * Chooses the members that perform a task for a subject, highest ranked first.
 * Ended members are excluded. Daemons with different views may choose different
 * members, so a task must be idempotent.
 *
 * @param subject Text that identifies the task. It is hashed, so all daemons of
 *     a fleet must use the same text.
 *
 * @example
 * chooseCoordinators('chunk rota-display/3', members, 1)[0].instance;
 */
export function chooseCoordinators(
  subject: string,
  members: readonly Member[],
  count: number,
): readonly Member[] {
  const live = members.filter(member => member.state !== 'ended');
  const ranked = rankByRendezvous(subject, live, member => member.instance);
  return ranked.slice(0, count);
}

/**
 * Chooses the relays of a failure domain.
 *
 * @example
 * chooseRelays('d1', members).some(relay => relay.instance === 'a');
 */
export function chooseRelays(
  domain: string,
  members: readonly Member[],
): readonly Member[] {
  const inDomain = members.filter(member => member.domain === domain);
  return chooseCoordinators(`relay ${domain}`, inDomain, RELAYS_PER_DOMAIN);
}

/**
 * Adds candidates to the kept witnesses. Each addition comes from a failure
 * domain with the fewest witnesses so far; among equal domains the holder's own
 * comes last.
 */
function spreadOverDomains(
  candidates: readonly Witness[],
  kept: readonly Witness[],
  ownDomain: string,
  count: number,
): readonly Witness[] {
  const chosen = [...kept];
  const rest = [...candidates];
  while (chosen.length < count && rest.length > 0) {
    const costs = rest.map(({domain}) => domainCost(chosen, domain, ownDomain));
    const best = costs.indexOf(Math.min(...costs));
    chosen.push(...rest.splice(best, 1));
  }
  return chosen;
}

function domainCost(
  chosen: readonly Witness[],
  domain: string,
  ownDomain: string,
): number {
  const used = chosen.filter(witness => witness.domain === domain).length;
  return 2 * used + (domain === ownDomain ? 1 : 0);
}

function toWitness(member: Member): Witness {
  const {instance, generation, process, peers, domain} = member;
  return {instance, generation, process, address: peers, domain};
}

function largestOddCount(available: number, wanted: number): number {
  const count = Math.min(available, wanted);
  return count % 2 === 0 ? Math.max(0, count - 1) : count;
}
