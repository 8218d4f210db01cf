import type {Admission} from '../admission/index.js';
import type {Gateway} from '../gateway/index.js';
import type {InstanceIdentity} from '../ownership/index.js';
import type {Signer} from '../peer/index.js';
import type {Settings} from '../settings/index.js';
import type {Log, Metrics} from '../telemetry/index.js';
import type {StatementTracker} from '../upstream/index.js';
import type {Balancer} from './balancer.js';
import type {SiteConfiguration} from './configuration.js';
import type {HandoverTracker} from './handover.js';
import type {Inbox} from './inbox.js';
import type {Loop} from './loop.js';
import type {RequestView} from './requestview.js';
import type {Publisher} from './publish.js';
import type {Reachability} from './reachability.js';
import type {Servers} from './servers.js';
import type {DaemonTrace} from './trace.js';
import type {UpstreamLink} from './upstreamlink.js';
import type {ObjectMirror} from './mirror.js';

/** The parts of a daemon that do no input or output before it starts. */
export interface Parts {
  readonly settings: Settings;
  readonly self: InstanceIdentity;
  readonly log: Log;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  readonly inbox: Inbox;
  readonly loop: Loop;
  readonly view: RequestView;
  readonly signer: Signer;
  readonly reachability: Reachability;
  readonly closePlatform: () => Promise<void>;
  readonly configuration: SiteConfiguration;
  readonly upstream: UpstreamLink;
  readonly statements: StatementTracker;
  readonly admission: Admission;
  readonly metrics: Metrics;
  readonly trace: DaemonTrace;
  readonly gateway: Gateway;
  readonly objects: ObjectMirror;
  readonly publisher: Publisher;
  readonly balancer: Balancer;
  readonly handover: HandoverTracker;
  readonly servers: Servers;
  /** Whether the objects come straight from the platform. */
  readonly feed: {isDirect: boolean};
  /** Called before the metrics are read. */
  readonly beforeMetrics: {update: () => void};
}
