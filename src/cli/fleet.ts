import type {Explanation, Member, Status} from '../model/index.js';
import {formatAddress} from '../model/index.js';
import {memberKey, update} from '../store/index.js';
import type {Context} from './context.js';
import {ControlError} from './control.js';
import {CLI_EVENTS} from './events.js';
import {readCurrent} from './history.js';
import {
  fetchStatuses,
  parseMember,
  readMembers,
  type MemberReport,
} from './members.js';
import {EXIT, failure, type Result} from './result.js';
import {formatTable} from './table.js';

/** Daemons that are asked to explain a key before giving up. */
const EXPLAIN_ATTEMPTS_MAX = 5;

const STATUS_HEADINGS = [
  'INSTANCE',
  'SITE',
  'DOMAIN',
  'SERVICE',
  'STATE',
  'LEASE',
  'CONFIG',
  'SLICES',
  'IN-FLIGHT',
  'UPSTREAM',
  'PLATFORM',
] as const;

/**
 * Shows what every daemon reports of itself.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * (await status(context)).lines;
 */
export async function status(context: Context): Promise<Result> {
  const members = await readMembers(context);
  const reports = await fetchStatuses(context.control, members);
  const version = context.daemon
    ? undefined
    : ((await readCurrent(context.platform))?.version ?? 0);
  const silent = reports.filter(report => !report.status).length;
  const known = version === undefined ? 'unknown' : String(version);
  const lines = [
    ...formatTable([STATUS_HEADINGS, ...reports.map(statusRow)]),
    `configuration ${known}, ${members.length} daemons, ${silent} silent`,
  ];
  return {code: EXIT.ok, lines, report: {version, daemons: reports}};
}

/**
 * Explains which instance serves a key, and why.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * (await explain(context, 'rota-display', 'night-desk')).lines;
 */
export async function explain(
  context: Context,
  service: string,
  key: string,
): Promise<Result> {
  const members = await readMembers(context);
  const candidates = members.filter(member => member.service === service);
  if (candidates.length === 0) {
    return failure(EXIT.refused, `no instance serves ${service}`);
  }
  let message = '';
  for (const member of candidates.slice(0, EXPLAIN_ATTEMPTS_MAX)) {
    try {
      const {control} = member;
      const found = await context.control.explain(control, service, key);
      return explanationResult(member, found);
    } catch (error) {
      if (!(error instanceof ControlError)) throw error;
      message = error.message;
    }
  }
  return failure(EXIT.unreachable, message);
}

/**
 * Tells an instance to drain: its keys move to others, and what is in flight
 * is finished.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * (await drain(context, 'rota-display-1')).code; // 0
 */
export async function drain(
  context: Context,
  instance: string,
): Promise<Result> {
  const member = (await readMembers(context)).find(
    candidate => candidate.instance === instance,
  );
  if (!member) return unknownInstance(instance);
  try {
    await context.control.drain(member.control);
  } catch (error) {
    if (!(error instanceof ControlError)) throw error;
    return failure(EXIT.unreachable, error.message);
  }
  context.log(CLI_EVENTS.drainRequested, {
    target: instance,
    author: context.author,
  });
  const lines = [`${instance} drains; follow it with: vanillaspoolctl status`];
  return {code: EXIT.ok, lines, report: {instance, isDraining: true}};
}

/**
 * Declares that an instance is lost for good, so that others may take over its
 * keys without proof that its lease has lapsed, and that its process, as a
 * witness, never answers again. Refused while its daemon
 * answers, and if it has registered anew.
 *
 * @throws {PlatformError} when the platform cannot be reached.
 *
 * @example
 * (await declareLost(context, 'rota-display-1')).code; // 0
 */
export async function declareLost(
  context: Context,
  instance: string,
): Promise<Result> {
  const object = await context.platform.get(memberKey(instance));
  if (!object) return unknownInstance(instance);
  const member = parseMember(object.value);
  if (await isAnswering(context, member)) {
    const message = `${instance} answers and is not lost; drain it instead`;
    return failure(EXIT.refused, message);
  }
  return endRegistration(context, member);
}

async function endRegistration(
  context: Context,
  {instance, generation}: Member,
): Promise<Result> {
  const isEnded = (text: string) => {
    const member = parseMember(text);
    return member.generation === generation && member.processEnded === true;
  };
  const result = await update(
    context.platform,
    memberKey(instance),
    current => endedRecord(current?.value, generation),
    isEnded,
  );
  if (result.kind !== 'stored') {
    return failure(EXIT.refused, `${instance} has registered anew`);
  }
  const {author} = context;
  context.log(CLI_EVENTS.instanceDeclaredLost, {
    target: instance,
    generation,
    author,
  });
  const lines = [`${instance} is recorded as lost (generation ${generation})`];
  return {code: EXIT.ok, lines, report: {instance, generation, isLost: true}};
}

function endedRecord(
  text: string | undefined,
  generation: number,
): string | undefined {
  const member = text === undefined ? undefined : parseMember(text);
  if (member?.generation !== generation) return undefined;
  return JSON.stringify({...member, state: 'ended', processEnded: true});
}

async function isAnswering(context: Context, member: Member): Promise<boolean> {
  const [{status: report}] = await fetchStatuses(context.control, [member]);
  return report?.instance === member.instance;
}

function explanationResult(member: Member, explanation: Explanation): Result {
  const {service, key, slice, owner = 'none', epoch} = explanation;
  const epochSuffix = epoch === undefined ? '' : ` at epoch ${epoch}`;
  const lines = [
    `${service} key ${key}: slice ${slice}, owner ${owner}${epochSuffix}`,
    ...explanation.reasons.map(reason => `  ${reason}`),
    `as seen by ${member.instance} (${formatAddress(member.control)})`,
  ];
  return {
    code: EXIT.ok,
    lines,
    report: {...explanation, seenBy: member.instance},
  };
}

function unknownInstance(instance: string): Result {
  return failure(EXIT.refused, `no instance is named ${instance}`);
}

function statusRow({member, status: report}: MemberReport): readonly string[] {
  const {instance, site, domain, service, state} = member;
  const identity = [instance, site, domain, service];
  if (!report) return [...identity, state, 'silent'];
  return [...identity, ...reportCells(report)];
}

function reportCells(report: Status): readonly string[] {
  return [
    report.state,
    report.leaseValid ? 'valid' : 'lapsed',
    String(report.configurationVersion),
    String(report.slices),
    String(report.inFlight),
    report.upstreamHealthy ? 'healthy' : 'unhealthy',
    report.platformReachable ? 'reachable' : 'away',
  ];
}
