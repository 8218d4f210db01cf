import type {Member, Status} from '../model/index.js';
import {
  MEMBERS_PREFIX,
  UnavailableError,
  type ObjectStore,
} from '../store/index.js';
import type {Context} from './context.js';
import type {ControlClient} from './control.js';
import {ControlError} from './control.js';

/** Daemons that are asked for their status at a time. */
const CONCURRENT_CALLS_MAX = 256;

/** The report of one member, absent if its daemon did not answer. */
export interface MemberReport {
  readonly member: Member;
  readonly status?: Status;
}

/**
 * Reads the members that have not ended, by name: from the platform, or from
 * the daemon that the context names.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 * @throws {ControlError} when the named daemon cannot be reached.
 *
 * @example
 * const members = await readMembers(context);
 */
export async function readMembers(
  context: Context,
): Promise<readonly Member[]> {
  const {platform, control, daemon} = context;
  const members = daemon
    ? (await control.status(daemon)).members
    : await listMembers(platform);
  return members
    .filter(member => member.state !== 'ended')
    .sort((a, b) => (a.instance < b.instance ? -1 : 1));
}

async function listMembers(platform: ObjectStore): Promise<readonly Member[]> {
  const {objects} = await platform.list(MEMBERS_PREFIX);
  return objects.map(object => parseMember(object.value));
}

/**
 * Reads a registration record from its JSON text.
 *
 * @throws {UnavailableError} when the text is not JSON.
 *
 * @example
 * parseMember(object.value).instance;
 */
export function parseMember(text: string): Member {
  try {
    return JSON.parse(text) as Member;
  } catch (cause) {
    throw new UnavailableError('a registration record is not JSON', {cause});
  }
}

/**
 * Asks the daemons of members for their status, some of them at a time.
 *
 * @example
 * const reports = await askMembers(control, members);
 */
export async function fetchStatuses(
  control: ControlClient,
  members: readonly Member[],
): Promise<readonly MemberReport[]> {
  const reports: MemberReport[] = [];
  for (let start = 0; start < members.length; start += CONCURRENT_CALLS_MAX) {
    const batch = members.slice(start, start + CONCURRENT_CALLS_MAX);
    const calls = batch.map(member => fetchStatus(control, member));
    reports.push(...(await Promise.all(calls)));
  }
  return reports;
}

async function fetchStatus(
  control: ControlClient,
  member: Member,
): Promise<MemberReport> {
  try {
    return {member, status: await control.status(member.control)};
  } catch (error) {
    if (!(error instanceof ControlError)) throw error;
    return {member};
  }
}
