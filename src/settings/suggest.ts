/** Largest edit distance at which a name is suggested for a misspelt one. */
const SUGGESTION_DISTANCE_MAX = 3;

/**
 * Returns the candidate that is closest to a misspelt name, or undefined when
 * none is close.
 *
 * @example
 * suggest('slcies', ['slices', 'chunks']); // 'slices'
 */
export function suggest(
  name: string,
  candidates: readonly string[],
): string | undefined {
  const limit = Math.min(SUGGESTION_DISTANCE_MAX, Math.floor(name.length / 2));
  let best: string | undefined;
  let bestDistance = limit + 1;
  for (const candidate of candidates) {
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}

/**
 * Counts the insertions, deletions and replacements that turn one text into
 * another (Levenshtein distance).
 *
 * @example
 * editDistance('slcies', 'slices'); // 2
 */
export function editDistance(a: string, b: string): number {
  let previous = Array.from({length: b.length + 1}, (_, j) => j);
  for (let i = 1; i <= a.length; i++) {
    const row = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = previous[j - 1] + (a[i - 1] === b[j - 1] ? 0 : 1);
      row.push(Math.min(replaced, previous[j] + 1, row[j - 1] + 1));
    }
    previous = row;
  }
  return previous[b.length];
}
