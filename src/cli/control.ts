import ModernError from 'modern-errors';
import {request} from 'undici';
import {
  formatAddress,
  type Address,
  type Explanation,
  type Status,
} from '../model/index.js';

/** Time limit of a call to a daemon's control address, in milliseconds. */
const CONTROL_TIMEOUT_MS = 1500;

/** A daemon that cannot be reached or does not answer as expected. */
export const ControlError = ModernError.subclass('ControlError');

/** What the command asks of a daemon; each call rejects with `ControlError`. */
export interface ControlClient {
  readonly status: (control: Address) => Promise<Status>;
  readonly explain: (
    control: Address,
    service: string,
    key: string,
  ) => Promise<Explanation>;
  readonly drain: (control: Address) => Promise<void>;
}

/**
 * Creates a client of the control addresses of daemons.
 *
 * @example
 * const status = await createControl().status(member.control);
 */
export function createControlClient(): ControlClient {
  return {
    status: async control => (await call('GET', control, '/status')) as Status,
    explain: async (control, service, key) => {
      const query = new URLSearchParams({service, key});
      return (await call('GET', control, `/explain?${query}`)) as Explanation;
    },
    drain: async control => {
      await call('POST', control, '/drain');
    },
  };
}

async function call(
  method: 'GET' | 'POST',
  control: Address,
  path: string,
): Promise<unknown> {
  const address = formatAddress(control);
  try {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    const url = `http://${address}${path}`;
    const {statusCode, body} = await request(url, {method, signal});
    const text = await body.text();
    if (statusCode < 300) return text === '' ? {} : JSON.parse(text);
    throw new ControlError(`answered ${statusCode}: ${text}`);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    throw new ControlError(`the daemon at ${address}: ${detail}`);
  }
}
