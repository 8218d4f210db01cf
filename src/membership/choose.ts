import {rankByRendezvous} from '../model/index.js';
import type {Member, Witness} from '../model/index.js';

/** Relays of each failure domain that hold the watches on the platform. */
export const RELAYS_PER_DOMAIN = 2;

/** Where an instance stands among the failure domains. */
export interface Location {
  readonly instance: string;
  readonly region: string;
  readonly domain: string;
}

/**
 * Chooses the witnesses of an instance among the live members of its region,
 * spread over as many failure domains as there are, its own domain last.
 *
 * @param count Number of witnesses, odd.
 * @param kept Witnesses to keep, so that a set changes as little as possible.
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
 * Chooses the instances that do a task for a subject, best first. Two daemons
 * with different views may choose differently, so the task must be harmless
 * when it is done twice.
 *
 * @example
 * chooseStewards('chunk rota-display/3', members, 1)[0].instance;
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
 * Adds candidates to the kept witnesses, each from a failure domain that has the
 * fewest so far; among equal domains the holder's own comes last.
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
