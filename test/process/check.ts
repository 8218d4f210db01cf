import {formatAddress} from '../../src/model/index.js';
import type {Commit} from '../../measure/fleet.js';
import type {Write} from './caller.js';

/**
 * Compares what the caller was told with what the upstreams committed.
 *
 * @returns One sentence for each contradiction; none when all is well.
 *
 * @example
 * findContradictions(caller.writes(), readCommits(fleet)); // []
 */
export function findContradictions(
  writes: readonly Write[],
  commits: readonly Commit[],
): readonly string[] {
  const byPath = groupBy(commits, ({path}) => path);
  return [
    ...writes.flatMap(write => checkWrite(write, byPath.get(write.path) ?? [])),
    ...findEpochViolations(commits),
  ];
}

function checkWrite(
  {path, entry, ending}: Write,
  commits: readonly Commit[],
): readonly string[] {
  const contradictions: string[] = [];
  const places = commits.map(formatCommit).join(', ');
  const subject = `${path} at ${formatAddress(entry)}`;
  if (commits.length > 1)
    contradictions.push(`${subject} ran twice: ${places}`);
  if (ending.kind === 'not-run' && commits.length > 0) {
    contradictions.push(`${subject} was told not run and ran: ${places}`);
  }
  if (ending.kind === 'answered' && commits.length === 0) {
    contradictions.push(`${subject} was answered and never ran`);
  }
  if (ending.kind === 'answered' && !ending.isOwn) {
    contradictions.push(`${subject} got the answer of another`);
  }
  return contradictions;
}

/**
 * Finds commits of a slice under an epoch after a higher one, and epochs that
 * two instances committed under. Commits in the same millisecond have no order.
 */
function findEpochViolations(commits: readonly Commit[]): readonly string[] {
  const bySlice = groupBy(commits, ({slice}) => slice ?? -1);
  return [...bySlice.values()].flatMap(sliceCommits => {
    const ordered = [...sliceCommits].sort((a, b) => a.committed - b.committed);
    let highest = ordered[0];
    const owners = new Map<number, string>();
    return ordered.flatMap(commit => {
      const epoch = commit.epoch ?? 0;
      const contradictions: string[] = [];
      const owner = owners.get(epoch) ?? commit.instance;
      owners.set(epoch, owner);
      if (owner !== commit.instance) {
        contradictions.push(`${formatCommit(commit)} has an epoch of ${owner}`);
      }
      const before = highest.epoch ?? 0;
      if (epoch < before && commit.committed > highest.committed) {
        contradictions.push(
          `${formatCommit(commit)} is after ${formatCommit(highest)}`,
        );
      }
      if (epoch >= before) highest = commit;
      return contradictions;
    });
  });
}

function formatCommit({slice, epoch, instance, committed}: Commit): string {
  return `slice ${slice} epoch ${epoch} by ${instance} at ${committed}`;
}

function groupBy<T, K>(
  values: readonly T[],
  keyOf: (value: T) => K,
): ReadonlyMap<K, readonly T[]> {
  const groups = new Map<K, T[]>();
  for (const value of values) {
    const group = groups.get(keyOf(value));
    if (group) group.push(value);
    else groups.set(keyOf(value), [value]);
  }
  return groups;
}
