import type {LeaseId, Member} from '../model/index.js';
import {formatLease, leaseOf} from '../model/index.js';
import type {DatagramEndpoint} from '../peer/index.js';
import {memberKey, putWithReadBack, UnavailableError} from '../store/index.js';
import type {ObjectStore} from '../store/index.js';
import {hasLeaseEnded, OWNERSHIP_EVENTS} from '../ownership/index.js';
import type {Effect, Input, Message, State} from '../ownership/index.js';
import type {Log} from '../telemetry/index.js';
import type {UpstreamLink} from './upstreamlink.js';
import type {ObjectMirror} from './mirror.js';

/** What the effects of decisions are run with. */
export interface EffectOptions {
  readonly platform: ObjectStore;
  readonly objects: ObjectMirror;
  readonly datagrams: DatagramEndpoint;
  readonly upstream: UpstreamLink;
  readonly dispatch: (input: Input) => void;
  /** Tells the request path that routes may have changed. */
  readonly onRoutesChanged: () => void;
  readonly onReplaced: () => void;
  readonly log: Log;
}

/**
 * Creates the function that runs the effects of one step.
 *
 * @example
 * const run = createEffects(options);
 * run(step.effects, step.state);
 */
export function createEffects(
  options: EffectOptions,
): (effects: readonly Effect[], state: State) => void {
  return (effects, state) => {
    for (const effect of effects) runEffect(options, effect, state);
  };
}

function runEffect(options: EffectOptions, effect: Effect, state: State): void {
  const {log} = options;
  switch (effect.kind) {
    case 'send':
      return options.datagrams.send(effect.to, effect.message);
    case 'broadcast':
      return broadcast(options, effect.message, state);
    case 'store':
      return void storeMember(options, effect.member);
    case 'read':
      return void readMember(options, effect.lease);
    case 'markEnded':
      return void markEnded(options, effect.lease);
    case 'grant':
      return void requestGrant(options, effect, state);
    case 'began':
      log(OWNERSHIP_EVENTS.began, {slices: formatTerms(effect.slices)});
      return options.onRoutesChanged();
    case 'released':
      log(OWNERSHIP_EVENTS.released, {slices: formatTerms(effect.slices)});
      return options.onRoutesChanged();
    case 'replaced':
      return options.onReplaced();
    case 'leaseEnded':
      return log(OWNERSHIP_EVENTS.leaseEnded, {
        lease: formatLease(effect.lease),
      });
  }
}

function broadcast(
  options: EffectOptions,
  message: Message,
  state: State,
): void {
  for (const member of state.view.members.values()) {
    if (member.instance === state.self.instance) continue;
    if (hasLeaseEnded(state.view, leaseOf(member))) continue;
    options.datagrams.send(member.peers, message);
  }
}

async function storeMember(
  options: EffectOptions,
  member: Member,
): Promise<void> {
  const {platform, objects, dispatch, log} = options;
  const key = memberKey(member.instance);
  const value = JSON.stringify(member);
  const expected = objects.version(key);
  const result = await putWithReadBack(platform, key, value, expected);
  if (result.kind === 'stored') {
    dispatch({kind: 'stored', member});
    objects.recordDirect({key, value, version: result.version});
    log(OWNERSHIP_EVENTS.registered, {
      lease: formatLease(leaseOf(member)),
      witnesses: member.witnesses.witnesses.length,
      state: member.state,
    });
    return;
  }
  if (result.kind === 'conflict' && result.current) {
    objects.recordDirect(result.current);
  }
  log(OWNERSHIP_EVENTS.registrationFailed, {reason: result.kind});
  dispatch({kind: 'storeFailed', result: result.kind});
}

async function readMember(
  options: EffectOptions,
  lease: LeaseId,
): Promise<void> {
  try {
    const stored = await options.platform.get(memberKey(lease.instance));
    if (!stored) return;
    options.objects.recordDirect(stored);
    const member = JSON.parse(stored.value) as Member;
    options.dispatch({kind: 'read', lease, member});
  } catch (error) {
    if (!(error instanceof UnavailableError)) throw error;
  }
}

async function markEnded(
  options: EffectOptions,
  lease: LeaseId,
): Promise<void> {
  const {objects, platform, log} = options;
  const key = memberKey(lease.instance);
  const entry = objects.mirror().entries.get(key);
  if (!entry) return;
  const member = JSON.parse(entry.value) as Member;
  const isCurrent =
    member.generation === lease.generation && member.state !== 'ended';
  if (!isCurrent) return;
  const value = JSON.stringify({...member, state: 'ended'});
  const result = await putWithReadBack(platform, key, value, entry.version);
  if (result.kind === 'conflict' && result.current) {
    objects.recordDirect(result.current);
  }
  if (result.kind !== 'stored') return;
  objects.recordDirect({key, value, version: result.version});
  log(OWNERSHIP_EVENTS.markedEnded, {lease: formatLease(lease)});
}

async function requestGrant(
  options: EffectOptions,
  effect: Extract<Effect, {kind: 'grant'}>,
  state: State,
): Promise<void> {
  const {request} = effect;
  const {sequence} = request;
  try {
    const clock = await options.upstream.grant(state.self.process, request);
    options.dispatch({kind: 'granted', sequence, clock});
  } catch {
    options.dispatch({kind: 'grantFailed', sequence});
  }
}

function formatTerms(
  slices: Extract<Effect, {kind: 'began'}>['slices'],
): string {
  return slices.map(({slice, epoch}) => `${slice}@${epoch}`).join(' ');
}
