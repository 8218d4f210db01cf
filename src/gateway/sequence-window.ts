/** Sequence numbers that a window tells apart below its highest one. */
export const SEQUENCE_WINDOW = 4096;

/** Few enough that a word stays a small integer, which an array holds itself. */
const BITS_PER_WORD = 16;
const WORDS = SEQUENCE_WINDOW / BITS_PER_WORD;

/** Sequence numbers received from one sender. */
export interface SequenceWindow {
  /** Highest number received; 0 before the first. */
  readonly highest: number;
  /** One bit for each number of the window, in a ring. */
  readonly bits: readonly number[];
}

/** The window of a sender from which nothing has been received. */
export const EMPTY_WINDOW: SequenceWindow = {
  highest: 0,
  bits: Array.from({length: WORDS}, () => 0),
};

/**
 * Applies the arrival of a sequence number. A number is accepted once; one that
 * is too old to be told from a repeated one is not accepted.
 *
 * @returns the next window, or undefined when the number is not accepted.
 * @throws {RangeError} when the number is not a positive integer.
 *
 * @example
 * const next = acceptSequence(EMPTY_WINDOW, 1);
 * next && acceptSequence(next, 1); // undefined
 */
export function acceptSequence(
  window: SequenceWindow,
  sequence: number,
): SequenceWindow | undefined {
  if (!Number.isSafeInteger(sequence) || sequence < 1) {
    throw new RangeError(`sequence is not a positive integer: ${sequence}`);
  }
  const {highest} = window;
  if (sequence <= highest - SEQUENCE_WINDOW) return undefined;
  if (sequence <= highest && hasBit(window.bits, sequence)) return undefined;
  const bits = window.bits.slice();
  clearBetween(bits, highest, sequence);
  setBit(bits, sequence);
  return {highest: Math.max(highest, sequence), bits};
}

function hasBit(bits: readonly number[], sequence: number): boolean {
  return (bits[wordOf(sequence)] & maskOf(sequence)) !== 0;
}

function setBit(bits: number[], sequence: number): void {
  bits[wordOf(sequence)] |= maskOf(sequence);
}

function wordOf(sequence: number): number {
  return Math.floor((sequence % SEQUENCE_WINDOW) / BITS_PER_WORD);
}

function maskOf(sequence: number): number {
  return 1 << (sequence % BITS_PER_WORD);
}

/** Clears the places of the numbers that a new highest number brings in. */
function clearBetween(bits: number[], highest: number, next: number): void {
  if (next - highest >= SEQUENCE_WINDOW) {
    bits.fill(0);
    return;
  }
  for (let sequence = highest + 1; sequence <= next; sequence++) {
    bits[wordOf(sequence)] &= ~maskOf(sequence);
  }
}
