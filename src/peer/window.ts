/** Datagrams of one sender that were received lately. */
export interface ReplayWindow {
  readonly process: string;
  readonly highest: number;
  /** Bit n is set when the number `highest - n` was received. */
  readonly seen: bigint;
}

/** Numbers behind the highest that may still arrive. */
export const WINDOW_DATAGRAMS = 256;

const MASK = (1n << BigInt(WINDOW_DATAGRAMS)) - 1n;

/**
 * Notes a received number. Returns undefined when it was received before or is
 * older than the window.
 *
 * @example
 * const next = noteSequence(window, 'f81d4fae', 42);
 * if (!next) return;
 */
export function recordSequence(
  window: ReplayWindow | undefined,
  process: string,
  sequence: number,
): ReplayWindow | undefined {
  if (!window || window.process !== process) {
    return {process, highest: sequence, seen: 1n};
  }
  const ahead = sequence - window.highest;
  if (ahead > 0) {
    const seen = shiftWindow(window.seen, ahead);
    return {process, highest: sequence, seen};
  }
  if (-ahead >= WINDOW_DATAGRAMS) return undefined;
  const bit = 1n << BigInt(-ahead);
  if ((window.seen & bit) !== 0n) return undefined;
  return {...window, seen: window.seen | bit};
}

function shiftWindow(seen: bigint, by: number): bigint {
  if (by >= WINDOW_DATAGRAMS) return 1n;
  return ((seen << BigInt(by)) & MASK) | 1n;
}
