import {quarantineKey, type FleetView, type Versioned} from '../fleet/index.js';
import {
  hasRelease,
  parseQuarantine,
  withReleases,
  withRequest,
  type Quarantine,
  type StoredQuarantine,
  type StoredRequest,
  type Suspect,
} from '../quarantine/index.js';
import {writeFromView} from './fleetwrite.js';
import type {MapAccess} from './maps.js';

/** What a daemon does about an entry that the store should have. */
export type StoreStep = 'done' | 'wait' | 'write';

/**
 * Decides on an entry of the store.
 *
 * @param isStored The store has the entry.
 * @param from Time from which this daemon writes it; undefined if another one
 *     should.
 *
 * @example
 * planWrite(false, undefined, now); // 'wait'
 */
export function planWrite(
  isStored: boolean,
  from: number | undefined,
  now: number,
): StoreStep {
  if (isStored) return 'done';
  return from !== undefined && now >= from ? 'write' : 'wait';
}

/**
 * Time after which a daemon stores what another one should have stored, or what
 * it could not store itself, in milliseconds.
 */
const STORE_DELAY_MS = 3000;

/** Daemons that try to store the same within that time. */
const STORING_DAEMONS = 10;

/**
 * Returns the delay of a write that any daemon may make: random, so that one is
 * first, and longer in large fleets, so that an outage of the store does not make
 * all of them call it.
 *
 * @param random Number from 0 up to, but not including, 1.
 *
 * @example
 * storeDelayMs(1200, Math.random()); // from 3000 to 363,000
 */
export function storeDelayMs(fleetSize: number, random: number): number {
  const share = random * Math.max(1, fleetSize / STORING_DAEMONS);
  return STORE_DELAY_MS * (1 + share);
}

/** Dependencies for storing quarantines. */
export interface QuarantineStoreContext extends Pick<
  MapAccess,
  'store' | 'view' | 'observeChange' | 'log'
> {
  readonly clock: () => number;
}

/** The quarantined requests in the store. */
export interface QuarantineStore {
  /** This daemon has decided the quarantines, and writes them at once. */
  readonly own: (fingerprints: readonly string[]) => void;
  /**
   * A quarantine has ended; the store must say so.
   *
   * @param isOwn This daemon has decided it, and writes it at once.
   */
  readonly recordRelease: (suspect: Suspect, isOwn: boolean) => void;
  /** Applies the quarantined requests of a new view. */
  readonly applyView: (view: FleetView, quarantine: Quarantine) => void;
  /** Writes what the store lacks; called about twice a second. */
  readonly tick: (quarantined: readonly Suspect[]) => Promise<void>;
}

/**
 * Creates the access to the quarantined requests in the store.
 *
 * @example
 * const store = createQuarantineStore(context);
 * await store.tick(quarantine.quarantined());
 */
export function createQuarantineStore(
  context: QuarantineStoreContext,
): QuarantineStore {
  const {clock, view} = context;
  /**
   * Time from which this daemon writes an entry, by fingerprint, or what the store
   * has undone, by key.
   */
  const writeFrom = new Map<string, number>();
  /** Services of requests that were released here, by fingerprint. */
  const released = new Map<string, string>();
  let applied: FleetView['quarantines'] = new Map();

  const find = (service: string, fingerprint: string) =>
    view()
      .quarantines.get(service)
      ?.value.requests.find(request => request.fingerprint === fingerprint);

  const write = async (service: string, request: StoredRequest) => {
    await writeFromView(
      context,
      quarantineKey(service),
      view().quarantines.get(service),
      'quarantine',
      current => {
        const stored = current ? parseQuarantine(current.value) : EMPTY;
        const known = 'problem' in stored ? EMPTY : stored;
        if (!request.isReleased && hasRelease(known, request)) return undefined;
        return JSON.stringify(withRequest(known, request));
      },
      text => containsRequest(text, request),
    );
  };

  /** Writes the releases of a service that the store has undone. */
  const writeReleases = async (
    key: string,
    known: Versioned<StoredQuarantine>,
  ) => {
    await writeFromView(
      context,
      key,
      known,
      'releases',
      current => {
        const stored = current ? parseQuarantine(current.value) : EMPTY;
        if ('problem' in stored) return undefined;
        const inForce = withReleases(stored, known.value);
        return inForce === stored ? undefined : JSON.stringify(inForce);
      },
      () => false,
    );
  };

  /** Makes something true in the store; returns whether it is. */
  const settle = async (
    id: string,
    isStored: boolean,
    store: () => Promise<void>,
  ): Promise<boolean> => {
    const from = writeFrom.get(id);
    const step = planWrite(isStored, from, clock());
    if (step === 'done') {
      writeFrom.delete(id);
      return true;
    }
    if (step === 'write' || from === undefined) {
      const delayMs = storeDelayMs(view().members.size, Math.random());
      writeFrom.set(id, clock() + delayMs);
    }
    if (step === 'write') await store();
    return false;
  };

  return {
    own: fingerprints => {
      for (const fingerprint of fingerprints) {
        if (!writeFrom.has(fingerprint)) writeFrom.set(fingerprint, clock());
      }
    },
    recordRelease: ({fingerprint, service}, isOwn) => {
      if (isOwn) writeFrom.set(fingerprint, clock());
      else writeFrom.delete(fingerprint);
      released.set(fingerprint, service);
    },
    applyView: ({quarantines}, quarantine) => {
      const before = applied;
      applied = quarantines;
      for (const [service, {value, version}] of quarantines) {
        const known = before.get(service);
        if (known?.version === version) continue;
        const heldBefore = new Set(
          known?.value.requests
            .filter(({isReleased}) => !isReleased)
            .map(({fingerprint}) => fingerprint),
        );
        const ended = quarantine
          .quarantined()
          .filter(suspect => hasRelease(value, suspect))
          .map(({fingerprint}) => fingerprint);
        for (const {isReleased, ...request} of value.requests) {
          const {fingerprint} = request;
          const isHeld =
            heldBefore.has(fingerprint) || ended.includes(fingerprint);
          if (isReleased && isHeld) quarantine.applyRelease(fingerprint);
          if (!isReleased && !released.has(fingerprint)) {
            quarantine.adopt([{...request, service}]);
          }
        }
      }
    },
    tick: async quarantined => {
      for (const {fingerprint, service, address, lives} of quarantined) {
        const known = find(service, fingerprint);
        const isStored = known?.isReleased === false;
        await settle(fingerprint, isStored, () => {
          const since = Date.now();
          const entry = {fingerprint, address, lives, since, isReleased: false};
          return write(service, entry);
        });
      }
      for (const [fingerprint, service] of released) {
        const known = find(service, fingerprint);
        const isStored = known === undefined || known.isReleased;
        const isSettled = await settle(fingerprint, isStored, () =>
          write(service, {...(known as StoredRequest), isReleased: true}),
        );
        if (isSettled) released.delete(fingerprint);
      }
      for (const [service, known] of view().quarantines) {
        const key = quarantineKey(service);
        await settle(key, !known.isUndone, () => writeReleases(key, known));
      }
    },
  };
}

const EMPTY: StoredQuarantine = {requests: []};

function containsRequest(
  text: string,
  {fingerprint, isReleased}: StoredRequest,
): boolean {
  const stored = parseQuarantine(text);
  return (
    !('problem' in stored) &&
    stored.requests.some(
      request =>
        request.fingerprint === fingerprint &&
        request.isReleased === isReleased,
    )
  );
}
