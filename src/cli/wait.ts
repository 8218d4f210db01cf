import type {Member} from '../model/index.js';
import {PlatformError} from '../store/index.js';
import type {Context} from './context.js';
import {ControlError} from './control.js';
import {fetchStatuses, readMembers} from './members.js';
import type {SiteProgress} from './progress.js';

/** Time between two rounds of questions, in milliseconds. */
const POLL_INTERVAL_MS = 250;

/** Time after which the members are read again, in milliseconds. */
const MEMBERS_INTERVAL_MS = 1000;

/** How far a version has come when the waiting ends. */
export interface WaitOutcome {
  readonly isInForce: boolean;
  readonly sites: readonly SiteProgress[];
}

/** What is known between two rounds. */
interface PollState {
  readonly members?: readonly Member[];
  /** Time at which the members were read. */
  readonly readAt: number;
  /** Instances, with their process, that report the version. */
  readonly reported: ReadonlySet<string>;
}

/**
 * Waits until every daemon of every site reports a version of the
 * configuration, or a newer one. Daemons that register in the meantime count.
 *
 * @param timeoutMs Time limit in milliseconds.
 *
 * @example
 * const {isInForce} = await waitUntilInForce(context, 7, 30_000);
 */
export async function waitUntilInForce(
  context: Context,
  version: number,
  timeoutMs: number,
): Promise<WaitOutcome> {
  const {clock: clock, progress} = context;
  const endAt = clock.now() + timeoutMs;
  let state: PollState = {readAt: -Infinity, reported: new Set()};
  for (;;) {
    state = await poll(context, version, state);
    const sites = progressOf(state);
    progress.show(sites);
    const isInForce = await isComplete(context, state);
    if (isInForce || clock.now() >= endAt) {
      progress.end();
      return {isInForce, sites};
    }
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

async function poll(
  context: Context,
  version: number,
  previous: PollState,
): Promise<PollState> {
  const {clock: clock, control} = context;
  const isDue = clock.now() - previous.readAt >= MEMBERS_INTERVAL_MS;
  const read = isDue ? await tryReadMembers(context) : undefined;
  const members = read ?? previous.members;
  const readAt = read ? clock.now() : previous.readAt;
  const pending = (members ?? []).filter(
    m => !previous.reported.has(processKey(m)),
  );
  const reports = await fetchStatuses(control, pending);
  const newlyReported = reports
    .filter(({status}) => (status?.configurationVersion ?? 0) >= version)
    .map(({member}) => processKey(member));
  return {
    members,
    readAt,
    reported: new Set([...previous.reported, ...newlyReported]),
  };
}

/** Reads the members once more, since some may have registered meanwhile. */
async function isComplete(
  context: Context,
  state: PollState,
): Promise<boolean> {
  const isReported = (member: Member) => state.reported.has(processKey(member));
  if (!state.members?.every(isReported)) return false;
  const members = await tryReadMembers(context);
  return members?.every(isReported) ?? false;
}

async function tryReadMembers(
  context: Context,
): Promise<readonly Member[] | undefined> {
  try {
    return await readMembers(context);
  } catch (error) {
    if (error instanceof PlatformError) return undefined;
    if (error instanceof ControlError) return undefined;
    throw error;
  }
}

function processKey(member: Member): string {
  return `${member.instance} ${member.process}`;
}

function progressOf(state: PollState): readonly SiteProgress[] {
  const members = state.members ?? [];
  const sites = [...new Set(members.map(member => member.site))].sort();
  return sites.map(site => {
    const siteMembers = members.filter(member => member.site === site);
    const waiting = siteMembers
      .filter(member => !state.reported.has(processKey(member)))
      .map(member => member.instance);
    const reported = siteMembers.length - waiting.length;
    return {site, reported, daemons: siteMembers.length, waiting};
  });
}
