#!/usr/bin/env node
import sade from 'sade';
import {printListening} from '../listen.js';
import {readOptions, type UpstreamFlags} from './options.js';
import {startUpstream} from './start.js';

sade('standin-upstream', true)
  .describe('Executes requests as an upstream that owns keys would.')
  .option('--port', 'Port on the loopback; 0 takes a free one', 0)
  .option('--announce', 'Control address of the daemon, host:port')
  .option('--service', 'Name of the service', 'service')
  .option('--slots', 'Requests that execute at a time', 12)
  .option('--connections', 'Connections that are accepted', 130)
  .option('--fencing', 'enforced or ignored', 'enforced')
  .option('--service-ms', 'Mean time of an execution, in milliseconds', 2)
  .option('--cold-ms', 'Time of slower executions after the start', 0)
  .option('--health', 'true, lag or lie', 'true')
  .option('--key-header', 'Header of the key, else it is in the path', 'x-key')
  .option('--seed', 'Seed of the variation of the service time', 1)
  .option('--journal', 'File to which executions are written')
  .action(async (flags: UpstreamFlags) => {
    printListening((await startUpstream(readOptions(flags))).address);
  })
  .parse(process.argv);
