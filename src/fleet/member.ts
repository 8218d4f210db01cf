import type {Incarnation} from '../ranges/index.js';

/**
 * State of an upstream instance as it announced itself.
 *
 * - `ready`: it takes requests.
 * - `draining`: it finishes what it has and is about to leave.
 * - `left`: it takes no requests any more.
 */
export type MemberState = 'ready' | 'draining' | 'left';

/** The registration of one upstream instance, written by the daemon beside it. */
export interface Member {
  /** Address of the daemon for other daemons, as `ip:port`. */
  readonly node: string;
  readonly domain: string;
  readonly service: string;
  readonly id: string;
  /** Start of the instance, in Unix milliseconds. */
  readonly born: number;
  /** Requests that the instance executes at a time. */
  readonly slots: number;
  readonly state: MemberState;
  /** The daemon is about to stop; the instance may go on. */
  readonly stopping: boolean;
}

/**
 * Returns the incarnation that a registration names.
 *
 * @example
 * sameLife(lifeOf(member), term.holder);
 */
export function incarnationOf({node, id, born}: Member): Incarnation {
  return {node, id, born};
}

/**
 * Tells whether new requests may be sent to a member.
 *
 * @example
 * members.filter(isOpen);
 */
export function isAcceptingRequests(member: Member): boolean {
  return member.state === 'ready' && !member.stopping;
}

/** Why stored text is not a registration. */
export interface MemberProblem {
  readonly problem: string;
}

const MEMBER_STATES: ReadonlySet<string> = new Set([
  'ready',
  'draining',
  'left',
]);

/**
 * Reads a registration from stored JSON.
 *
 * @example
 * const member = parseMember(text);
 * if ('problem' in member) log(FLEET_EVENTS.unreadable, member);
 */
export function parseMember(text: string): Member | MemberProblem {
  let value: Partial<Member> | null;
  try {
    value = JSON.parse(text) as Partial<Member> | null;
  } catch (error) {
    return {problem: `not JSON: ${(error as Error).message}`};
  }
  const {node, domain, service, id, born, slots, state} = value ?? {};
  const texts = {node, domain, service, id};
  for (const [name, text] of Object.entries(texts)) {
    if (typeof text !== 'string') return {problem: `${name} is not a text`};
  }
  if (!Number.isInteger(born)) return {problem: 'born is not a whole number'};
  if (!((slots as number) > 0)) return {problem: 'slots is not positive'};
  if (!MEMBER_STATES.has(state as string))
    return {problem: 'state is not known'};
  return {...(value as Member), stopping: value?.stopping === true};
}
