import {parseAddress} from '../model/index.js';
import type {Incarnation} from '../ranges/index.js';

/**
 * State of an upstream instance, as announced by the instance.
 *
 * - `ready`: it accepts requests.
 * - `draining`: it finishes its requests in flight and then leaves.
 * - `left`: it accepts no requests.
 */
export type MemberState = 'ready' | 'draining' | 'left';

/** The states of an instance, in the order in which it passes through them. */
const STATE_ORDER: readonly MemberState[] = ['ready', 'draining', 'left'];

/**
 * Returns the later of two states of an instance.
 *
 * @example
 * laterState('ready', 'left'); // 'left'
 */
export function laterState(a: MemberState, b: MemberState): MemberState {
  return STATE_ORDER.indexOf(a) > STATE_ORDER.indexOf(b) ? a : b;
}

/** Registration of an upstream instance, written by its daemon. */
export interface Member {
  /** Address at which other daemons reach the daemon, as `ip:port`. */
  readonly node: string;
  readonly domain: string;
  readonly service: string;
  readonly id: string;
  /** Start time of the instance, in Unix milliseconds. */
  readonly born: number;
  /** Position among the incarnations at the daemon, in place of `born`. */
  readonly order?: number;
  /** Number of requests that the instance executes concurrently. */
  readonly slots: number;
  readonly state: MemberState;
  /** Whether the daemon is shutting down; the instance may keep running. */
  readonly stopping: boolean;
}

/**
 * Returns the incarnation that is registered as a member.
 *
 * @example
 * isSameIncarnation(incarnationOf(member), term.holder);
 */
export function incarnationOf({
  node,
  id,
  born,
  order,
}: Pick<Member, 'node' | 'id' | 'born' | 'order'>): Incarnation {
  return {node, id, born, ...(order !== undefined && {order})};
}

/**
 * Returns whether a member accepts new requests.
 *
 * @example
 * members.filter(isAcceptingRequests);
 */
export function isAcceptingRequests(member: Member): boolean {
  return member.state === 'ready' && !member.stopping;
}

/** Reason why stored text is not a valid registration. */
export interface MemberProblem {
  readonly problem: string;
}

const MEMBER_STATES: ReadonlySet<string> = new Set([
  'ready',
  'draining',
  'left',
]);

/**
 * Parses a stored registration.
 *
 * @returns the registration, or the reason why the text is not a valid one.
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
    return {
      problem: `expected a registration in JSON: ${(error as Error).message}`,
    };
  }
  const {node, domain, service, id, born, order, slots, state} = value ?? {};
  const texts = {node, domain, service, id};
  for (const [name, text] of Object.entries(texts)) {
    if (typeof text !== 'string')
      return {
        problem: `expected a string in field ${name} of the registration`,
      };
  }
  if (!isAddress(node as string))
    return {
      problem:
        'expected an IP address and port in field node of the registration',
    };
  if (!Number.isInteger(born))
    return {problem: 'expected an integer in field born of the registration'};
  if (order !== undefined && !Number.isInteger(order))
    return {problem: 'expected an integer in field order of the registration'};
  if (!Number.isSafeInteger(slots) || (slots as number) < 1)
    return {
      problem: 'expected a positive integer in field slots of the registration',
    };
  if (!MEMBER_STATES.has(state as string))
    return {
      problem:
        'expected ready, draining or left in field state of the registration',
    };
  return {...(value as Member), stopping: value?.stopping === true};
}

function isAddress(text: string): boolean {
  try {
    parseAddress(text);
    return true;
  } catch {
    return false; // The caller reports the problem.
  }
}
