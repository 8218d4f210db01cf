import type {FleetView} from '../fleet/index.js';
import {
  createQuarantine,
  type Quarantine,
  type RelayedMessage,
} from '../quarantine/index.js';
import {
  createBroadcast,
  createDelayedClears,
  type BroadcastContext,
} from './broadcast.js';
import {
  createQuarantineStore,
  type QuarantineStoreContext,
} from './quarantinestore.js';

/** The quarantine of a daemon, shared with the others and the store. */
export interface FleetQuarantine {
  readonly quarantine: Quarantine;
  /** Applies a message of another daemon. */
  readonly receive: (message: RelayedMessage) => void;
  /** Applies the quarantined requests of a new view. */
  readonly applyView: (view: FleetView) => void;
  /** Stores what the store lacks; called about twice a second. */
  readonly tick: () => Promise<void>;
}

/**
 * Creates the quarantine of a daemon in a fleet. Ends of instances and answers
 * to suspects go to each other daemon directly, since the store may be away;
 * quarantines are also stored, so that they outlast all daemons.
 *
 * @example
 * const {quarantine, tick} = createFleetQuarantine(context);
 */
export function createFleetQuarantine(
  context: BroadcastContext & QuarantineStoreContext,
): FleetQuarantine {
  const {clock, log} = context;
  const {sendToAll, relay} = createBroadcast(context);
  const stored = createQuarantineStore(context);
  const clears = createDelayedClears(fingerprint =>
    sendToAll({ends: [], cleared: [fingerprint]}),
  );
  const quarantine = createQuarantine({
    clock,
    log,
    tellOthersLater: clears.schedule,
    tellOthers: message => {
      sendToAll(message);
      const quarantined = quarantine.quarantined();
      stored.own(quarantined.map(({fingerprint}) => fingerprint));
    },
    onReleased: stored.recordRelease,
  });
  return {
    quarantine,
    receive: message => {
      relay(message);
      message.cleared.forEach(clears.cancel);
      quarantine.receive(message);
    },
    applyView: view => stored.applyView(view, quarantine),
    tick: () => stored.tick(quarantine.quarantined()),
  };
}
