/** Sequence numbers that a window tells apart below its highest one. */
export const SEQUENCE_WINDOW = 8192;

const BITS_PER_WORD = 32;
const WORDS = SEQUENCE_WINDOW / BITS_PER_WORD;

/** Sequence numbers received from one sender. */
export interface SequenceWindow {
  /** Highest number received; 0 before the first. */
  readonly highest: number;
  /** One bit for each number of the window, in a ring. */
  readonly bits: Readonly<Uint32Array>;
}

/** The window of a sender from which nothing has been received. */
export const EMPTY_WINDOW: SequenceWindow = {
  highest: 0,
  bits: new Uint32Array(WORDS),
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
  const bits = Uint32Array.from(window.bits);
  clearBetween(bits, highest, sequence);
  setBit(bits, sequence);
  return {highest: Math.max(highest, sequence), bits};
}

function hasBit(bits: Readonly<Uint32Array>, sequence: number): boolean {
  const place = sequence % SEQUENCE_WINDOW;
  return (bits[place >>> 5] & (1 << (place & 31))) !== 0;
}

function setBit(bits: Uint32Array, sequence: number): void {
  const place = sequence % SEQUENCE_WINDOW;
  bits[place >>> 5] |= 1 << (place & 31);
}

/** Clears the places of the numbers that a new highest number brings in. */
function clearBetween(bits: Uint32Array, highest: number, next: number): void {
  if (next - highest >= SEQUENCE_WINDOW) {
    bits.fill(0);
    return;
  }
  for (let sequence = highest + 1; sequence <= next; sequence++) {
    const place = sequence % SEQUENCE_WINDOW;
    bits[place >>> 5] &= ~(1 << (place & 31));
  }
}
