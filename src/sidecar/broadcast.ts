import {setTimeout as sleep} from 'node:timers/promises';
import type {FleetView} from '../fleet/index.js';
import type {QuarantineMessage, RelayedMessage} from '../quarantine/index.js';
import type {Log} from '../telemetry/index.js';
import type {Transport} from '../upstream/index.js';
import {SIDECAR_EVENTS} from './events.js';

/**
 * Path at which a daemon receives what others know of suspects, and lists the
 * quarantined requests for operators.
 */
export const QUARANTINE_PATH = '/vanillaspool/quarantine';

/** Time for which messages are collected, in milliseconds. */
const COLLECT_MS = 20;

/** Time limit of a message, in milliseconds. */
const MESSAGE_TIMEOUT_MS = 1500;

/** Sends of one message to a daemon, and the time between them. */
const MAX_SENDS = 4;
const RESEND_MS = 700;

/** Messages that are sent at a time. */
const MAX_CONCURRENT_SENDS = 16;

/** Longest delay of a message that several daemons may send, in milliseconds. */
const MAX_CLEAR_DELAY_MS = 250;

/** Messages on answered suspects that are sent later. */
export interface DelayedClears {
  readonly schedule: (fingerprint: string) => void;
  /** Another daemon has sent the message. */
  readonly cancel: (fingerprint: string) => void;
}

/**
 * Delays messages on answered suspects at random, so that few of the daemons
 * that could tell the others do.
 *
 * @example
 * const clears = createDelayedClears(fingerprint => tell(fingerprint));
 */
export function createDelayedClears(
  tell: (fingerprint: string) => void,
): DelayedClears {
  const timers = new Map<string, NodeJS.Timeout>();
  return {
    schedule: (fingerprint: string) => {
      if (timers.has(fingerprint)) return;
      const delayMs = Math.random() * MAX_CLEAR_DELAY_MS;
      const timer = setTimeout(() => {
        timers.delete(fingerprint);
        tell(fingerprint);
      }, delayMs);
      timers.set(fingerprint, timer);
    },
    cancel: (fingerprint: string) => {
      clearTimeout(timers.get(fingerprint));
      timers.delete(fingerprint);
    },
  };
}

/** Dependencies for messages to other daemons. */
export interface BroadcastContext {
  readonly node: string;
  readonly view: () => FleetView;
  readonly poolOf: (node: string) => Transport;
  readonly runInBackground: (task: Promise<unknown>) => void;
  readonly log: Log;
}

/** Daemons to which one daemon passes a message on. */
const RELAY_GROUP = 32;

/**
 * Splits daemons into groups. A message goes to the first of each group, which
 * passes it on to the others, so that no daemon sends hundreds of messages.
 *
 * @example
 * groupsOf(['a', 'b', 'c'], 2); // [['a', 'b'], ['c']]
 */
export function groupsOf(
  peers: readonly string[],
  size: number,
): readonly (readonly string[])[] {
  const groups: string[][] = [];
  for (let i = 0; i < peers.length; i += size) {
    groups.push(peers.slice(i, i + size));
  }
  return groups;
}

/** Messages on suspects to other daemons. */
export interface Broadcast {
  /** Sends to all other daemons, with others that come at the same time. */
  readonly sendToAll: (message: QuarantineMessage) => void;
  /** Passes a message on. */
  readonly relay: (message: RelayedMessage) => void;
}

/**
 * Creates the sender of messages to other daemons. What could not be sent is
 * sent again up to three times.
 *
 * @example
 * createBroadcast(context).sendToAll({ends: [end], cleared: []});
 */
export function createBroadcast(context: BroadcastContext): Broadcast {
  const {log, node, poolOf, runInBackground, view} = context;
  let collected: QuarantineMessage | undefined;

  /**
   * Sends a message to the first daemon of a group that accepts it, which
   * passes it on to those behind it.
   */
  const sendToGroup = async (
    content: QuarantineMessage,
    group: readonly string[],
  ) => {
    let left = group;
    for (let sends = 0; sends < MAX_SENDS && left.length > 0; sends++) {
      if (sends > 0) await sleep(RESEND_MS);
      const failed: string[] = [];
      let message = '';
      while (left.length > 0) {
        const [peer, ...relayTo] = left;
        const body = JSON.stringify({...content, relayTo});
        const problem = await post(poolOf(peer), QUARANTINE_PATH, body);
        if (problem === undefined) break;
        failed.push(peer);
        message = problem;
        left = relayTo;
      }
      left = failed.filter(peer => view().members.has(peer));
      if (left.length === 0) return;
      const fields = {count: left.length, peer: left[0], message};
      log(SIDECAR_EVENTS.quarantineNotSent, fields);
    }
  };

  const sendTo = async (
    message: QuarantineMessage,
    peers: readonly string[],
    groupSize: number,
  ) => {
    const groups = [...groupsOf(peers, groupSize)];
    const work = async () => {
      for (let group = groups.pop(); group; group = groups.pop()) {
        await sendToGroup(message, group);
      }
    };
    await Promise.all(Array.from({length: MAX_CONCURRENT_SENDS}, work));
  };

  const flush = () => {
    const message = collected;
    collected = undefined;
    if (!message) return;
    const peers = [...view().members.keys()].filter(peer => peer !== node);
    const groupSize = peers.length > RELAY_GROUP ? RELAY_GROUP : 1;
    runInBackground(sendTo(message, peers, groupSize));
  };

  return {
    sendToAll: ({ends, cleared}) => {
      if (!collected) setTimeout(flush, COLLECT_MS);
      collected = {
        ends: [...(collected?.ends ?? []), ...ends],
        cleared: [...(collected?.cleared ?? []), ...cleared],
      };
    },
    relay: ({relayTo, ...message}) => {
      const known = relayTo.filter(
        peer => peer !== node && view().members.has(peer),
      );
      if (known.length > 0) runInBackground(sendTo(message, known, 1));
    },
  };
}

/** Sends a message; returns what prevented it, if anything. */
function post(
  transport: Transport,
  path: string,
  body: string,
): Promise<string | undefined> {
  return new Promise(resolve => {
    let status = 0;
    transport.dispatch(
      {
        method: 'POST',
        path,
        body,
        headersTimeout: MESSAGE_TIMEOUT_MS,
        bodyTimeout: MESSAGE_TIMEOUT_MS,
      },
      {
        onConnect: () => {},
        onHeaders: code => {
          status = code;
          return true;
        },
        onData: () => true,
        onComplete: () =>
          resolve(status < FIRST_FAILURE_STATUS ? undefined : `${status}`),
        onError: error => resolve(error.message),
      },
    );
  });
}

/** Lowest status of a response that accepts nothing. */
const FIRST_FAILURE_STATUS = 300;
