import type {Member} from '../model/index.js';
import {PlatformError} from '../store/index.js';
import type {Context} from './context.js';
import {ControlError} from './control.js';
import {askMembers, readMembers} from './members.js';
import type {SiteProgress} from './progress.js';

/** Time between two rounds of questions, in milliseconds. */
const ROUND_INTERVAL_MS = 250;

/** Time after which the members are read again, in milliseconds. */
const MEMBERS_INTERVAL_MS = 1000;

/** How far a version has come when the waiting ends. */
export interface Arrival {
  readonly isInForce: boolean;
  readonly sites: readonly SiteProgress[];
}

/** What is known between two rounds. */
interface Round {
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
): Promise<Arrival> {
  const {pace, progress} = context;
  const endAt = pace.now() + timeoutMs;
  let round: Round = {readAt: -Infinity, reported: new Set()};
  for (;;) {
    round = await runRound(context, version, round);
    const sites = progressOf(round);
    progress.show(sites);
    const isInForce = await isComplete(context, round);
    if (isInForce || pace.now() >= endAt) {
      progress.end();
      return {isInForce, sites};
    }
    await pace.sleep(ROUND_INTERVAL_MS);
  }
}

async function runRound(
  context: Context,
  version: number,
  last: Round,
): Promise<Round> {
  const {pace, control} = context;
  const isDue = pace.now() - last.readAt >= MEMBERS_INTERVAL_MS;
  const read = isDue ? await tryReadMembers(context) : undefined;
  const members = read ?? last.members;
  const readAt = read ? pace.now() : last.readAt;
  const pending = (members ?? []).filter(m => !last.reported.has(identify(m)));
  const reports = await askMembers(control, pending);
  const arrived = reports
    .filter(({status}) => (status?.configurationVersion ?? 0) >= version)
    .map(({member}) => identify(member));
  return {members, readAt, reported: new Set([...last.reported, ...arrived])};
}

/** Reads the members once more, since some may have registered meanwhile. */
async function isComplete(context: Context, round: Round): Promise<boolean> {
  const isReported = (member: Member) => round.reported.has(identify(member));
  if (!round.members?.every(isReported)) return false;
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

function identify(member: Member): string {
  return `${member.instance} ${member.process}`;
}

function progressOf(round: Round): readonly SiteProgress[] {
  const members = round.members ?? [];
  const sites = [...new Set(members.map(member => member.site))].sort();
  return sites.map(site => {
    const here = members.filter(member => member.site === site);
    const waiting = here
      .filter(member => !round.reported.has(identify(member)))
      .map(member => member.instance);
    const reported = here.length - waiting.length;
    return {site, reported, daemons: here.length, waiting};
  });
}
