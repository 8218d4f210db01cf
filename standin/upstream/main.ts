#!/usr/bin/env node
import sade from 'sade';
import {printListening} from '../listen.js';
import {readOptions, type UpstreamFlags} from './options.js';
import {startUpstream} from './start.js';

sade('standin-upstream', true)
  .describe('Simulates an upstream that owns keys.')
  .option('--port', 'Port on the loopback address; 0 selects a free one', 0)
  .option('--announce', 'Control address of the daemon, host:port')
  .option('--service', 'Name of the service', 'service')
  .option('--slots', 'Maximum concurrent requests', 12)
  .option('--connections', 'Maximum connections for requests', 130)
  .option('--fencing', 'enforced or ignored', 'enforced')
  .option('--service-ms', 'Mean time of a request, in milliseconds', 2)
  .option('--cold-ms', 'Warm-up time after the start, in milliseconds', 0)
  .option('--health', 'true, lag or lie', 'true')
  .option(
    '--key-header',
    'Header with the key; else taken from the path',
    'x-key',
  )
  .option('--seed', 'Random seed of the service times', 1)
  .option('--journal', 'File to which executions are appended')
  .action(async (flags: UpstreamFlags) => {
    printListening((await startUpstream(readOptions(flags))).address);
  })
  .parse(process.argv);
