import type {InstanceEnd} from './state.js';

/** What daemons tell each other of suspects. */
export interface QuarantineMessage {
  readonly ends: readonly InstanceEnd[];
  /** Fingerprints of suspects that an instance has answered. */
  readonly cleared: readonly string[];
}

/** A message, and the daemons to which its receiver passes it on. */
export interface RelayedMessage extends QuarantineMessage {
  readonly relayTo: readonly string[];
}

/** Largest number of entries of a list that is read. */
export const MAX_ENTRIES = 256;

const isCount = (value: unknown): value is number =>
  Number.isInteger(value) && (value as number) >= 0;

const isText = (value: unknown): value is string => typeof value === 'string';

/**
 * Parses a message of another daemon.
 *
 * @returns undefined if the text is not a valid message.
 *
 * @example
 * const message = parseQuarantineMessage(body);
 */
export function parseQuarantineMessage(
  text: string,
): RelayedMessage | undefined {
  let value: Partial<RelayedMessage> | null;
  try {
    value = JSON.parse(text) as Partial<RelayedMessage> | null;
  } catch {
    return undefined; // The caller logs and refuses the message.
  }
  const {ends, cleared, relayTo = []} = value ?? {};
  const isValid =
    isListOf(ends, isInstanceEnd) &&
    isListOf(cleared, isText) &&
    isListOf(relayTo, isText);
  return isValid ? {ends, cleared, relayTo} : undefined;
}

function isListOf<T>(
  value: unknown,
  isEntry: (entry: unknown) => entry is T,
): value is readonly T[] {
  return (
    Array.isArray(value) && value.length <= MAX_ENTRIES && value.every(isEntry)
  );
}

function isInstanceEnd(value: unknown): value is InstanceEnd {
  const {id, born, service, requests} = (value ?? {}) as Partial<InstanceEnd>;
  return (
    isText(id) &&
    isText(service) &&
    Number.isInteger(born) &&
    Array.isArray(requests) &&
    requests.length <= MAX_ENTRIES &&
    requests.every(
      request =>
        isText(request?.fingerprint) &&
        isText(request.address) &&
        typeof request.isAlone === 'boolean' &&
        isCount(request.answers ?? 0),
    )
  );
}
