import type {AcceptedConfiguration} from '../model/index.js';
import {
  AnswerLostError,
  CONFIGURATION_KEY,
  PlatformError,
  historyKey,
  type ObjectStore,
  type StoredObject,
} from '../store/index.js';
import {
  decideChange,
  formatAccepted,
  parseAccepted,
  type ChangeDecision,
  type Proposal,
  type RecordedEntries,
} from '../settings/index.js';
import {readHistory} from './history.js';
import type {Clock} from './clock.js';

/** Attempts to submit a change before giving up. */
const ATTEMPTS_MAX = 8;

/** Time between two attempts, in milliseconds. */
const ATTEMPT_INTERVAL_MS = 500;

/** Earlier configurations that the history keeps. */
const HISTORY_ENTRIES_MAX = 10_000;

/** What became of a submitted change. */
export type Submission =
  /** The change took effect as this version; a newer one may have followed. */
  | {readonly kind: 'stored'; readonly accepted: AcceptedConfiguration}
  | Extract<ChangeDecision, {readonly kind: 'unchanged' | 'refused'}>
  /** The platform could not be reached; the change did not take effect. */
  | {readonly kind: 'unreachable'}
  /** The change may have taken effect, or may yet. */
  | {readonly kind: 'unknown'};

/** What one attempt leaves behind; without a result there is another one. */
interface Attempt {
  readonly result?: Submission;
  /** A write of this change may have taken effect. */
  readonly isUncertain: boolean;
}

/**
 * Submits a change to the platform. Each configuration is written to the
 * history before it is replaced, so that the history has no gap. A write whose
 * answer was lost is resolved by the change's identifier: the same change can
 * be submitted again and takes effect once.
 *
 * @example
 * const submission = await submitChange(platform, proposal, PROCESS_PACE);
 * if (submission.kind === 'stored') submission.accepted.version;
 */
export async function submitChange(
  platform: ObjectStore,
  proposal: Proposal,
  clock: Clock,
): Promise<Submission> {
  let isUncertain = false;
  for (let count = 0; count < ATTEMPTS_MAX; count++) {
    if (count > 0) await clock.sleep(ATTEMPT_INTERVAL_MS);
    const attempt = await attemptChange(platform, proposal, clock, isUncertain);
    if (attempt.result) return attempt.result;
    isUncertain = attempt.isUncertain;
  }
  return {kind: isUncertain ? 'unknown' : 'unreachable'};
}

async function attemptChange(
  platform: ObjectStore,
  proposal: Proposal,
  clock: Clock,
  isUncertain: boolean,
): Promise<Attempt> {
  let isWriting = false;
  try {
    const object = await platform.get(CONFIGURATION_KEY);
    const recorded = await readRecorded(platform, object, proposal);
    const decision = decideChange(recorded, proposal, clock.now());
    if (decision.kind !== 'accepted') {
      return {
        result: submissionOf(decision, recorded, proposal, isUncertain),
        isUncertain: isUncertain,
      };
    }
    if (recorded.current) await writeHistory(platform, recorded.current);
    isWriting = true;
    const {accepted} = decision;
    const text = formatAccepted(accepted);
    const version = object?.version ?? 0;
    const result = await platform.put(CONFIGURATION_KEY, text, version);
    if (result.kind === 'conflict') return {isUncertain: isUncertain};
    await pruneHistory(platform, accepted.version);
    return {result: {kind: 'stored', accepted}, isUncertain: isUncertain};
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
    const isLost = isWriting && error instanceof AnswerLostError;
    return {isUncertain: isUncertain || isLost};
  }
}

function submissionOf(
  decision: Exclude<ChangeDecision, {readonly kind: 'accepted'}>,
  {current, follower}: RecordedEntries,
  {basedOn}: Proposal,
  isUncertain: boolean,
): Submission {
  if (decision.kind === 'repeated') {
    return {kind: 'stored', accepted: decision.accepted};
  }
  const isFollowerLost = (current?.version ?? 0) > basedOn + 1 && !follower;
  return isUncertain && isFollowerLost ? {kind: 'unknown'} : decision;
}

async function readRecorded(
  platform: ObjectStore,
  object: StoredObject | undefined,
  {basedOn}: Proposal,
): Promise<RecordedEntries> {
  const current = object && parseAccepted(object.value);
  if (!current || current.version <= basedOn + 1) return {current};
  return {current, follower: await readHistory(platform, basedOn + 1)};
}

async function writeHistory(
  platform: ObjectStore,
  entry: AcceptedConfiguration,
): Promise<void> {
  const key = historyKey(entry.version);
  await platform.put(key, formatAccepted(entry), 0);
}

/** Drops the entry that the history is too long for; a failure is ignored. */
async function pruneHistory(
  platform: ObjectStore,
  version: number,
): Promise<void> {
  const oldest = version - 1 - HISTORY_ENTRIES_MAX;
  if (oldest < 1) return;
  try {
    const object = await platform.get(historyKey(oldest));
    if (object) await platform.delete(object.key, object.version);
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
  }
}
