import {once} from 'node:events';
import {formatAddress, type Address} from '../src/model/index.js';
import type {PlatformFaults} from '../standin/platform/server.js';
import type {Process, Processes} from './processes.js';

/** Sets the faults of the platform stand-in. */
export async function setPlatformFaults(
  platform: Address,
  faults: PlatformFaults,
): Promise<void> {
  const url = `http://${formatAddress(platform)}/faults`;
  const body = JSON.stringify(faults);
  await (await fetch(url, {method: 'POST', body})).text();
}

/**
 * Runs the operator's command line tool and waits until it exits.
 *
 * @throws {Error} when its exit code is not 0.
 */
export async function runTool(
  processes: Processes,
  platform: Address,
  args: readonly string[],
): Promise<void> {
  const tool = 'src/bin/vanillaspoolctl.js';
  const name = `vanillaspoolctl-${args[0]}`;
  const all = [...args, '--platform', formatAddress(platform)];
  const code = await processes.start(name, tool, all).exited;
  if (code !== 0) {
    throw new Error(
      `vanillaspoolctl ${args.join(' ')}: expected exit code 0, got ${code}`,
    );
  }
}

/** Waits for a process to exit; resolves with undefined after the timeout. */
export async function waitForExit(
  process: Process,
  timeoutMs: number,
): Promise<number | null | undefined> {
  const signal = AbortSignal.timeout(timeoutMs);
  const timeout = once(signal, 'abort').then(() => undefined);
  return Promise.race([process.exited, timeout]);
}
