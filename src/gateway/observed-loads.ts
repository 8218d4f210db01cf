import type {Member} from '../model/index.js';
import {
  NO_LOAD,
  chooseOfTwo,
  observeLoad,
  scoreLoad,
  type Load,
} from '../routing/index.js';

/** The loads of instances as this daemon observes them. */
export interface ObservedLoads {
  /** Counts a request as sent; call the result once when it has ended. */
  readonly enter: (instance: string) => () => void;
  readonly inFlight: (instance: string) => number;
  /** Chooses the less loaded of two random members. */
  readonly choose: (members: readonly Member[]) => Member | undefined;
}

/**
 * Creates the record of observed loads, empty at first.
 *
 * @param clock Returns a monotonic time in milliseconds.
 * @param random Returns a number from 0 (included) to 1 (excluded).
 *
 * @example
 * const loads = createObservedLoads(clock, Math.random);
 * const leave = loads.enter('season-import-2');
 */
export function createObservedLoads(
  clock: () => number,
  random: () => number,
): ObservedLoads {
  const loads = new Map<string, Load>();
  const loadOf = (instance: string) => loads.get(instance) ?? NO_LOAD;
  const scoreOf = (member: Member) =>
    scoreLoad(loadOf(member.instance), Math.max(1, member.slots), clock());
  return {
    enter: instance => {
      const sentAt = clock();
      const sent = observeLoad(loadOf(instance), {kind: 'sent'}, sentAt);
      loads.set(instance, sent);
      return () => {
        const now = clock();
        const event = {kind: 'answered', latencyMs: now - sentAt} as const;
        loads.set(instance, observeLoad(loadOf(instance), event, now));
      };
    },
    inFlight: instance => loadOf(instance).inFlight,
    choose: members => chooseOfTwo(members, scoreOf, random),
  };
}
