import {parseMember, type FleetView, type Member} from '../fleet/index.js';
import {fetchFromPeer} from './probe.js';

/**
 * Path prefix, before a daemon's address, at which a daemon tells the registration
 * of that daemon's instance as it knows it.
 */
export const MEMBER_PATH = '/vanillaspool/member/';

/** Daemons that are asked at a time, and how often others are asked. */
const ASKED_PEERS = 5;
const MAX_ROUNDS = 2;

/** Time limit for the answers of one round, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;

/**
 * Chooses the daemons to ask, in rounds.
 *
 * @param random Returns a number from 0 up to, but not including, 1.
 *
 * @example
 * chooseAsked(['a', 'b'], Math.random); // [['b', 'a']]
 */
export function chooseAsked(
  peers: readonly string[],
  random: () => number,
): readonly (readonly string[])[] {
  const left = [...peers];
  const rounds: string[][] = [];
  while (rounds.length < MAX_ROUNDS && left.length > 0) {
    const round: string[] = [];
    while (round.length < ASKED_PEERS && left.length > 0) {
      const index = Math.floor(random() * left.length);
      round.push(...left.splice(index, 1));
    }
    rounds.push(round);
  }
  return rounds;
}

/** Dependencies for asking other daemons about the local instance. */
export interface RecallContext {
  readonly node: string;
  readonly view: () => FleetView;
  readonly random: () => number;
  /** Reads a registration from another daemon; by default over the network. */
  readonly fetch?: (peer: string, path: string) => Promise<unknown>;
}

/**
 * Asks other daemons for the registration of the local instance, for a daemon that
 * has just started: the store may have come back from a copy in which an instance is
 * ready whose departure an earlier process has acknowledged. A few are asked,
 * and others only if none of them answers.
 *
 * @returns the registrations that they know.
 *
 * @example
 * const known = await recallMember({node, view, random: Math.random});
 */
export async function recallMember({
  node,
  view,
  random,
  fetch = (peer, path) => fetchFromPeer(peer, path, ANSWER_TIMEOUT_MS),
}: RecallContext): Promise<readonly Member[]> {
  const peers = [...view().members.keys()].filter(peer => peer !== node);
  for (const round of chooseAsked(peers, random)) {
    const values = await Promise.all(
      round.map(peer => fetch(peer, MEMBER_PATH + node)),
    );
    const answers = values.filter(value => value !== undefined);
    if (answers.length === 0) continue;
    return answers.flatMap(value => {
      const member = parseMember(JSON.stringify(value));
      return 'problem' in member || member.node !== node ? [] : [member];
    });
  }
  return [];
}
