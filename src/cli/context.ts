import type {Address} from '../model/index.js';
import type {ObjectStore} from '../store/index.js';
import type {Log} from '../telemetry/index.js';
import type {ControlClient} from './control.js';
import type {Clock} from './clock.js';
import type {Progress} from './progress.js';

/** Everything through which a command reaches the world. */
export interface Context {
  readonly platform: ObjectStore;
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly progress: Progress;
  readonly author: string;
  /** Reads a text file; throws `UsageError` if it cannot be read. */
  readonly readText: (file: string) => string;
  /** Creates a random identifier of a change. */
  readonly newChangeId: () => string;
  /** A daemon to ask for the members in place of the platform. */
  readonly daemon?: Address;
}
