import type {Member, Status} from '../model/index.js';
import {
  MEMBERS_PREFIX,
  UnavailableError,
  type ObjectStore,
} from '../store/index.js';
import type {Context} from './context.js';
import type {ControlClient} from './control.js';
import {ControlError} from './control.js';

/** Largest number of concurrent status requests. */
const CONCURRENT_CALLS_MAX = 256;

/** A member and its status, which is absent if its daemon did not answer. */
export interface MemberReport {
  readonly member: Member;
  readonly status?: Status;
}

/**
 * Reads the members that have not ended, sorted by name, from the daemon given
 * in the context or else from the platform.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 * @throws {ControlError} when the daemon given in the context cannot be reached.
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
 * Parses the JSON text of a registration record.
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
    throw new UnavailableError('registration record is not valid JSON', {
      cause,
    });
  }
}

/**
 * Fetches the status of members from their daemons, with limited concurrency.
 *
 * @example
 * const reports = await fetchStatuses(control, members);
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
