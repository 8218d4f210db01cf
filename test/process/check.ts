import {formatAddress} from '../../src/model/index.js';
import type {Commit} from '../../measure/fleet.js';
import type {Write} from './caller.js';

/**
 * Compares the outcomes that the caller received with the commits of the
 * upstreams.
 *
 * @returns One sentence for each contradiction; empty when there is none.
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

/** Compares the outcome of one write with its commits. */
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
    contradictions.push(
      `${subject} was reported as not run but ran: ${places}`,
    );
  }
  if (ending.kind === 'answered' && commits.length === 0) {
    contradictions.push(`${subject} was answered but never ran`);
  }
  if (ending.kind === 'answered' && !ending.isOwn) {
    contradictions.push(`${subject} got the answer to another request`);
  }
  return contradictions;
}

/**
 * Finds commits of a slice that follow a commit under a higher epoch, and
 * epochs that two instances committed under. Commits of the same millisecond
 * are not ordered.
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
        contradictions.push(
          `${formatCommit(commit)} reuses an epoch of ${owner}`,
        );
      }
      const before = highest.epoch ?? 0;
      if (epoch < before && commit.committed > highest.committed) {
        contradictions.push(
          `${formatCommit(commit)} follows higher epoch: ${formatCommit(highest)}`,
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
