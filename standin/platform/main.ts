#!/usr/bin/env node
import sade from 'sade';
import {listen, printListening} from '../listen.js';
import {createPlatformServer} from './server.js';

sade('standin-platform', true)
  .describe('Serves the object API of the platform from memory.')
  .option('--port', 'Port on the loopback address; 0 selects a free one', 0)
  .action(async (options: {readonly port: number}) => {
    printListening(await listen(createPlatformServer(), options.port));
  })
  .parse(process.argv);
