import type {Address} from '../model/index.js';
import type {ObjectStore} from '../store/index.js';
import type {Log} from '../telemetry/index.js';
import type {ControlClient} from './control.js';
import type {Clock} from './clock.js';
import type {Progress} from './progress.js';

/** Dependencies of a command: services, clock, log and display. */
export interface Context {
  readonly platform: ObjectStore;
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly progress: Progress;
  readonly author: string;
  /** Reads a text file; throws `UsageError` if reading fails. */
  readonly readText: (file: string) => string;
  /** Creates a random identifier of a change. */
  readonly newChangeId: () => string;
  /** Daemon that provides the member list instead of the platform. */
  readonly daemon?: Address;
}
