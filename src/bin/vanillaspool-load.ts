#!/usr/bin/env node
import sade from 'sade';
import {
  createTally,
  readLoadOptions,
  runLoad,
  type LoadFlags,
} from '../load/index.js';

/** Time between two lines of progress. */
const PROGRESS_INTERVAL_MS = 1000;

/** Exit code for invalid flags. */
const EXIT_USAGE = 2;

function print(line: object): void {
  process.stdout.write(JSON.stringify(line) + '\n');
}

async function main(flags: LoadFlags): Promise<void> {
  const options = readLoadOptions(flags);
  const tally = createTally();
  const timer = setInterval(
    () => print({progress: tally.summary()}),
    PROGRESS_INTERVAL_MS,
  );
  try {
    await runLoad(options, tally.add);
  } finally {
    clearInterval(timer);
  }
  const summary = tally.summary();
  print({summary});
  if (summary.verdicts.wrong > 0) process.exitCode = 1;
}

sade('vanillaspool-load', true)
  .describe('Sends an open-loop load to daemons and checks every answer.')
  .option('--targets', 'Addresses of daemons for callers, host:port,host:port')
  .option(
    '--request',
    'METHOD PATH [WEIGHT [BODY-BYTES [KEY-HEADER]]], may be repeated',
  )
  .option('--rate', 'Requests per second', 100)
  .option('--seconds', 'Duration of the load', 10)
  .option('--keys', 'Number of different keys', 1000)
  .option('--zipf', 'Exponent of the distribution of the keys', 1)
  .option('--seed', 'Seed of the load', 1)
  .option(
    '--deadline-ms',
    'Time limit of a request including its retries',
    5000,
  )
  .option(
    '--attempt-ms',
    'Time limit of one attempt; that of the request if absent',
  )
  .option('--attempts', 'Largest number of attempts where a retry is safe', 1)
  .option('--connections', 'Connections to each daemon', 32)
  .option('--hints', 'Largest number of owners cached from answers', 0)
  .option(
    '--hint-prefix',
    'Length of the key prefix that determines the cached owner',
    256,
  )
  .option('--run', 'Name of the run; prefixes the identifiers of its requests')
  .example('--targets 127.0.0.1:8080 --request "GET /rota/{key}" --rate 500')
  .action((flags: LoadFlags) =>
    main(flags).catch((error: Error) => {
      process.stderr.write(`vanillaspool-load: ${error.message}\n`);
      process.exitCode = EXIT_USAGE;
    }),
  )
  .parse(process.argv);
