import type {Configuration} from '../model/index.js';
import {
  differences,
  formatDifference,
  formatFinding,
  proposeRollback,
  loadConfiguration,
  type Finding,
  type Proposal,
  type RefusalReason,
} from '../settings/index.js';
import type {Context} from './context.js';
import {CLI_EVENTS} from './events.js';
import {readCurrent, readHistory} from './history.js';
import {formatProgress} from './progress.js';
import {EXIT, failure, type Result} from './result.js';
import {submitChange, type Submission} from './submit.js';
import {waitUntilInForce, type WaitOutcome} from './wait.js';

/** The base file and the overlays that a command line names. */
export interface Files {
  readonly base: string;
  readonly overlays: readonly string[];
}

/** Options of a command that changes the configuration. */
export interface ChangeOptions {
  /** Version that the change is based on; the current one if absent. */
  readonly basedOn?: number;
  /** Identifier of an earlier attempt whose outcome is unknown. */
  readonly change?: string;
  /** Whether sites without an overlay are removed. */
  readonly removesSites?: boolean;
  /** Time limit for the version to be in force, in milliseconds. */
  readonly timeoutMs: number;
}

const REFUSAL_MESSAGES: Readonly<Record<RefusalReason, string>> = {
  stale: 'refused: the configuration has changed since; what differs:',
  'missing-site':
    'refused: these sites have no overlay' +
    ' (name it, or remove the sites with --remove-sites):',
  'fixed-field':
    'refused: these fields are fixed while the service exists' +
    ' (declare a service of a new name instead):',
  'too-large': 'refused: the configuration is larger than the platform holds',
};

/**
 * Checks a base file and its overlays without the platform.
 *
 * @example
 * check({base: 'base.jsonc', overlays: ['newsroom.jsonc']}, readText).code; // 0
 */
export function check(
  files: Files,
  readText: (file: string) => string,
): Result {
  const loaded = load(files, readText);
  if (loaded.kind === 'rejected') return rejectedResult(loaded.findings);
  const sites = loaded.sites.map(({site, services}) => ({
    site,
    services: services.map(({name}) => name),
  }));
  const lines = sites.map(
    ({site, services}) => `${site}: ${services.join(', ')}`,
  );
  const report = {sites, findings: []};
  return {code: EXIT.ok, lines: [...lines, 'no findings'], report};
}

/**
 * Shows what applying the files would change.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * (await diff(context, files)).lines;
 */
export async function diff(context: Context, files: Files): Promise<Result> {
  const loaded = load(files, context.readText);
  if (loaded.kind === 'rejected') return rejectedResult(loaded.findings);
  const current = await readCurrent(context.platform);
  const basedOn = current?.version ?? 0;
  const changed = differences(current?.sites ?? [], loaded.sites);
  const lines = [
    `based on version ${basedOn}; differences: ${changed.length}`,
    ...changed.map(formatDifference),
  ];
  return {code: EXIT.ok, lines, report: {basedOn, differences: changed}};
}

/**
 * Applies the files and waits until the configuration is in force.
 *
 * @throws {PlatformError} when the platform cannot be reached at the start.
 *
 * @example
 * const {code} = await apply(context, files, {timeoutMs: 30_000});
 */
export async function apply(
  context: Context,
  files: Files,
  options: ChangeOptions,
): Promise<Result> {
  const loaded = load(files, context.readText);
  if (loaded.kind === 'rejected') return rejectedResult(loaded.findings);
  const proposal = await propose(context, loaded.sites, options);
  return submitAndWait(context, proposal, options);
}

/**
 * Goes back to an earlier configuration, as a new version.
 *
 * @throws {PlatformError} when the platform cannot be reached at the start.
 *
 * @example
 * const {code} = await rollback(context, 12, {timeoutMs: 30_000});
 */
export async function rollback(
  context: Context,
  version: number,
  options: ChangeOptions,
): Promise<Result> {
  const current = await readCurrent(context.platform);
  const entry =
    current?.version === version
      ? current
      : await readHistory(context.platform, version);
  if (!entry) {
    return failure(EXIT.refused, `version ${version} is not in the history`);
  }
  const proposal = await propose(context, entry.sites, options);
  return submitAndWait(context, proposeRollback(entry, proposal), options);
}

function load({base, overlays}: Files, readText: (file: string) => string) {
  const source = (file: string) => ({file, text: readText(file)});
  return loadConfiguration(source(base), overlays.map(source));
}

function rejectedResult(findings: readonly Finding[]): Result {
  const lines = [
    ...findings.map(formatFinding),
    `findings: ${findings.length}`,
  ];
  return {code: EXIT.refused, lines, report: {findings}};
}

async function propose(
  context: Context,
  sites: readonly Configuration[],
  options: ChangeOptions,
): Promise<Proposal> {
  const {platform, author, newChangeId: newChangeId} = context;
  const change = options.change ?? newChangeId();
  const basedOn =
    options.basedOn ?? (await readCurrent(platform))?.version ?? 0;
  const {removesSites} = options;
  return {sites, basedOn, change, author, removesSites};
}

async function submitAndWait(
  context: Context,
  proposal: Proposal,
  options: ChangeOptions,
): Promise<Result> {
  const submission = await submitChange(
    context.platform,
    proposal,
    context.clock,
  );
  switch (submission.kind) {
    case 'stored':
    case 'unchanged':
      return awaitInForce(context, submission, proposal, options);
    case 'refused':
      return refusedResult(context, submission, proposal);
    case 'unreachable':
      return failure(
        EXIT.unreachable,
        'the platform cannot be reached; the change was not made',
      );
    case 'unknown':
      return failure(EXIT.unreachable, unknownOutcomeMessage(proposal));
  }
}

function unknownOutcomeMessage({change: id, basedOn}: Proposal): string {
  return (
    'the change may have been made: the platform gave no answer; repeat the' +
    ` command with --change ${id} --based-on ${basedOn} to find out`
  );
}

async function awaitInForce(
  context: Context,
  submission: Extract<Submission, {kind: 'stored' | 'unchanged'}>,
  proposal: Proposal,
  options: ChangeOptions,
): Promise<Result> {
  const {version} = submission.accepted;
  const isNew = submission.kind === 'stored';
  const {change: id, author} = proposal;
  if (isNew) {
    context.log(CLI_EVENTS.configurationAccepted, {
      version,
      change: id,
      author,
    });
  }
  const startedAt = context.clock.now();
  const outcome = await waitUntilInForce(context, version, options.timeoutMs);
  const elapsedMs = context.clock.now() - startedAt;
  const what = isNew ? `version ${version}` : `version ${version} (unchanged)`;
  const state = formatOutcome(outcome, elapsedMs, options.timeoutMs);
  const late = outcome.sites.filter(site => site.waiting.length > 0);
  return {
    code: outcome.isInForce ? EXIT.ok : EXIT.notInForce,
    lines: [`${what} ${state}`, ...late.map(formatProgress)],
    report: {version, change: id, isNew, elapsedMs, ...outcome},
  };
}

function formatOutcome(
  {isInForce, sites}: WaitOutcome,
  elapsedMs: number,
  timeoutMs: number,
): string {
  if (!isInForce) return `is accepted but not in force within ${timeoutMs} ms`;
  if (sites.length === 0) return 'is accepted; no daemon is registered yet';
  return `is in force after ${elapsedMs} ms`;
}

function refusedResult(
  context: Context,
  submission: Extract<Submission, {kind: 'refused'}>,
  proposal: Proposal,
): Result {
  const {reason, current, differences: changed} = submission;
  const {basedOn, author} = proposal;
  context.log(CLI_EVENTS.configurationRefused, {reason, basedOn, author});
  const lines = [
    REFUSAL_MESSAGES[reason],
    ...changed.map(formatDifference),
    `based on version ${basedOn}; the current version is ${current?.version ?? 0}`,
  ];
  const report = {
    reason,
    basedOn,
    currentVersion: current?.version ?? 0,
    differences: changed,
  };
  return {code: EXIT.refused, lines, report};
}
