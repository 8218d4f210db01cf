import {formatAddress, formatLease} from '../model/index.js';
import type {Status} from '../model/index.js';
import {OWNERSHIP_EVENTS} from '../ownership/index.js';
import type {State} from '../ownership/index.js';
import {openDatagrams} from '../peer/index.js';
import type {DatagramEndpoint} from '../peer/index.js';
import type {Settings} from '../settings/index.js';
import type {Log} from '../telemetry/index.js';
import {createEffects} from './effects.js';
import {DAEMON_EVENTS} from './events.js';
import {closeAll, listen} from './servers.js';
import {createTrace} from './trace.js';
import {createUsage} from './usage.js';
import {createParts} from './create.js';
import {drain} from './drain.js';
import type {Parts} from './parts.js';
import {handleMessage, status} from './handlers.js';
import {startTasks} from './tasks.js';

/** A running daemon. */
export interface Daemon {
  readonly status: () => Status;
  /** Gives all slices away, finishes what is in flight and closes. */
  readonly drain: () => Promise<void>;
  /** Closes at once. */
  readonly close: () => Promise<void>;
  /** Settles when the daemon can't go on. */
  readonly failed: Promise<Error>;
}

/**
 * Starts a daemon.
 *
 * @throws {Error} with code `EADDRINUSE` when an address is taken.
 *
 * @example
 * const daemon = await startDaemon(settings, log);
 */
export async function startDaemon(
  settings: Settings,
  log: Log,
): Promise<Daemon> {
  const parts = createParts(settings, log, await createTrace(settings));
  const {self, loop, inbox, servers} = parts;
  const datagrams = await openDatagrams({
    address: settings.peers,
    instance: self.instance,
    process: self.process,
    signer: parts.signer,
    receive: envelope => handleMessage(parts, envelope),
  });
  parts.beforeMetrics.update = createUsage(parts.metrics, datagrams.counts);
  await listen(servers, settings);
  let fail: (error: Error) => void = () => {};
  const failed = new Promise<Error>(resolve => (fail = resolve));
  loop.run(createEffectRunner(parts, datagrams, fail)).catch(fail);
  inbox.dispatch({kind: 'platform', reachable: true});
  const stopTasks = startTasks(parts, datagrams);
  const {callers, peers, control} = settings;
  log(DAEMON_EVENTS.started, {
    callers: formatAddress(callers),
    peers: formatAddress(peers),
    control: formatAddress(control),
    process: self.process,
  });
  const close = () => closeParts(parts, datagrams, stopTasks);
  return {
    status: () => status(parts),
    failed,
    close,
    drain: async () => {
      await drain(parts);
      await close();
    },
  };
}

function createEffectRunner(
  parts: Parts,
  datagrams: DatagramEndpoint,
  fail: (error: Error) => void,
): ReturnType<typeof createEffects> {
  const {reachability, objects, upstream, inbox, view, log} = parts;
  const runEffects = createEffects({
    platform: reachability.platform,
    objects,
    datagrams,
    upstream,
    dispatch: inbox.dispatch,
    onRoutesChanged: view.notifyRouteChange,
    onReplaced: () => {
      log(DAEMON_EVENTS.replaced);
      fail(new Error('another process registered this instance'));
    },
    log,
  });
  const logLease = createLeaseLogger(log);
  return (effects, state) => {
    logLease(state);
    runEffects(effects, state);
  };
}

/** Creates the function that logs when the lease comes into force or lapses. */
function createLeaseLogger(log: Log): (state: State) => void {
  const {leaseValid, leaseLapsed} = OWNERSHIP_EVENTS;
  let previousState = '';
  return ({holder}) => {
    if (holder.state === previousState) return;
    const lease = formatLease(holder.lease);
    if (holder.state === 'valid') log(leaseValid, {lease});
    if (previousState === 'valid' && holder.state === 'acquiring') {
      log(leaseLapsed, {lease});
    }
    previousState = holder.state;
  };
}

async function closeParts(
  parts: Parts,
  datagrams: DatagramEndpoint,
  stopTasks: () => void,
): Promise<void> {
  const {reachability, loop, servers, upstream, trace, log} = parts;
  stopTasks();
  reachability.close();
  loop.stop();
  closeAll(servers);
  await Promise.all([
    datagrams.close(),
    upstream.close(),
    parts.closePlatform(),
    trace.close(),
  ]);
  log(DAEMON_EVENTS.stopped);
}
