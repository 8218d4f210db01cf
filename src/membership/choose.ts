import {rankByRendezvous} from '../model/index.js';
import type {Member, Witness} from '../model/index.js';

/** Relays of each failure domain that hold the watches on the platform. */
export const RELAYS_PER_DOMAIN = 2;

/** Where an instance stands among the failure domains. */
export interface Place {
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
  place: Place,
  members: readonly Member[],
  count: number,
  kept: readonly Witness[] = [],
): readonly Witness[] {
  const eligible = members.filter(
    member =>
      member.instance !== place.instance &&
      member.region === place.region &&
      member.state === 'serving',
  );
  const ranked = rankByRendezvous(
    `witness ${place.instance}`,
    eligible,
    member => member.instance,
  );
  const keptNames = new Set(kept.map(({instance}) => instance));
  const keptDomains = new Set(kept.map(({domain}) => domain));
  const fresh = ranked.filter(({instance}) => !keptNames.has(instance));
  const isPreferred = ({domain}: Member) =>
    domain !== place.domain && !keptDomains.has(domain);
  const others = fresh.filter(({domain}) => domain !== place.domain);
  const spread = [
    ...roundRobin(others.filter(isPreferred)),
    ...others.filter(member => !isPreferred(member)),
    ...fresh.filter(({domain}) => domain === place.domain),
  ];
  const all = [...kept, ...spread.map(toWitness)];
  return all.slice(0, oddCount(all.length, count));
}

/**
 * Chooses the instances that do a task for a subject, best first. Two daemons
 * with different views may choose differently, so the task must be harmless
 * when it is done twice.
 *
 * @example
 * chooseStewards('chunk rota-display/3', members, 1)[0].instance;
 */
export function chooseStewards(
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
  return chooseStewards(`relay ${domain}`, inDomain, RELAYS_PER_DOMAIN);
}

function toWitness(member: Member): Witness {
  const {instance, generation, process, peers, domain} = member;
  return {instance, generation, process, address: peers, domain};
}

function oddCount(available: number, wanted: number): number {
  const count = Math.min(available, wanted);
  return count % 2 === 0 ? Math.max(0, count - 1) : count;
}

function roundRobin(members: readonly Member[]): readonly Member[] {
  const byDomain = new Map<string, Member[]>();
  for (const member of members) {
    const list = byDomain.get(member.domain) ?? [];
    list.push(member);
    byDomain.set(member.domain, list);
  }
  const lists = [...byDomain.values()];
  const longest = Math.max(0, ...lists.map(list => list.length));
  const result: Member[] = [];
  for (let turn = 0; turn < longest; turn++) {
    for (const list of lists) {
      if (list[turn]) result.push(list[turn]);
    }
  }
  return result;
}
