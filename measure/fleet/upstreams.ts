import {readOptions} from '../../standin/upstream/options.js';
import {startUpstream} from '../../standin/upstream/start.js';

/**
 * Runs several upstreams in one process. Arguments: the name of the service,
 * then the control address of each upstream's daemon.
 */
const [service, ...controls] = process.argv.slice(2);
for (const announce of controls) {
  await startUpstream(readOptions({service, announce, fencing: 'enforced'}));
}
