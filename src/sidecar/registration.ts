import {
  incarnationOf,
  laterState,
  memberKey,
  parseMember,
  type Member,
} from '../fleet/index.js';
import {isSameIncarnation, orderOf} from '../ranges/index.js';
import type {StoredObject} from '../store/index.js';
import {SIDECAR_EVENTS} from './events.js';
import {writeFromView} from './fleetwrite.js';
import type {MapAccess} from './maps.js';

/** Environment of the registration of the local instance. */
export interface RegistrationContext extends Pick<
  MapAccess,
  'store' | 'view' | 'observeChange' | 'log'
> {
  readonly node: string;
  /** Returns the registration that is due; undefined if no instance is known. */
  readonly dueMember: () => Member | undefined;
}

/** Registers the local instance in the store. */
export interface Registration {
  /**
   * Returns the registration as far as this daemon has read it, but in the state
   * that is due if another writer has recorded a later one.
   */
  readonly recorded: () => Member | undefined;
  /**
   * Writes the registration that is due, after a write in progress of an earlier
   * state. Resolves once it is stored or its write has failed.
   */
  readonly write: () => Promise<void>;
}

/**
 * Creates the registration of the local instance. It is never written over that of
 * an instance that started later, or over a later state of the same one.
 *
 * @example
 * const registration = createRegistration({...context, dueMember});
 * await registration.write();
 */
export function createRegistration(context: RegistrationContext): Registration {
  const {node, dueMember, log} = context;
  let writing: Promise<void> | undefined;
  let nextWrite: Promise<void> | undefined;
  /** Version of the last write of this process; undefined before the first. */
  let ownVersion: number | undefined;

  /**
   * Returns whether another writer has recorded a later state than the one that is
   * due. Conditional writes of an earlier process can't follow one of this process.
   */
  const isForeign = (known: Member, version: number, due = dueMember()) =>
    due !== undefined &&
    ownVersion !== undefined &&
    version > ownVersion &&
    isLaterState(known, due);

  const recordedObject = () => context.view().members.get(node);

  /** Returns whether a stored registration may not be replaced by another one. */
  const isInForce = ({value, version}: StoredObject, member: Member) => {
    const known = parseMember(value);
    if ('problem' in known) return false;
    if (orderOf(known) > orderOf(member)) return true;
    return isLaterState(known, member) && !isForeign(known, version, member);
  };

  const recorded = () => {
    const known = recordedObject();
    if (!known) return undefined;
    const {value, version, isUndone} = known;
    return !isUndone && isForeign(value, version) ? dueMember() : value;
  };

  const writeMember = async () => {
    const member = dueMember();
    const known = recordedObject();
    const isRecorded = known && !known.isUndone;
    if (!member || (isRecorded && sameMember(known.value, member))) return;
    const value = JSON.stringify(member);
    const result = await writeFromView(
      context,
      memberKey(node),
      known,
      'registration',
      current => (current && isInForce(current, member) ? undefined : value),
      text => text === value,
    );
    if (result?.kind !== 'stored') return;
    ownVersion = Math.max(ownVersion ?? 0, result.object?.version ?? 0);
    const {id, state, stopping} = member;
    log(SIDECAR_EVENTS.registered, {id, state, stopping});
  };

  const write = (): Promise<void> => {
    if (!writing) {
      writing = writeMember().finally(() => (writing = undefined));
      return writing;
    }
    nextWrite ??= writing
      .catch(() => {})
      .then(() => {
        nextWrite = undefined;
        return write();
      });
    return nextWrite;
  };

  return {recorded, write};
}

/** Returns whether a registration is of the same life in a later state. */
function isLaterState(known: Member, member: Member): boolean {
  return (
    isSameIncarnation(incarnationOf(known), incarnationOf(member)) &&
    laterState(known.state, member.state) !== member.state
  );
}

function sameMember(a: Member, b: Member): boolean {
  return (
    a.id === b.id &&
    a.born === b.born &&
    a.order === b.order &&
    a.service === b.service &&
    a.domain === b.domain &&
    a.slots === b.slots &&
    a.state === b.state &&
    a.stopping === b.stopping
  );
}
