import type {ServerResponse} from 'node:http';
import test from 'ava';
import type {ReceivedStatement} from '../../src/upstream/index.js';
import {
  configuration,
  rawRequest,
  sendRaw,
  service,
  startFleet,
  startServer,
} from './fixture.js';

/** Lets an upstream answer requests through two daemons, and what was heard. */
async function collectStatements(
  answer: (response: ServerResponse) => void,
): Promise<readonly ReceivedStatement[]> {
  const stated: ReceivedStatement[] = [];
  const server = await startServer((_, response) => answer(response));
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [server.address, server.address],
    options: {onStatement: one => stated.push(one)},
  });
  for (const {address} of fleet.daemons) {
    await sendRaw(address, rawRequest('GET /rota/a'));
  }
  await fleet.stop();
  await server.stop();
  return stated;
}

test('what an upstream says of itself is heard with an answer and with a refusal', async t => {
  const headers = {'vanillaspool-limit': '18.1', 'vanillaspool-leaving': '1'};
  const said = {limit: 18.1, isLeaving: true, problems: []};
  const answers = await collectStatements(response => {
    response.writeHead(200, headers).end('whole');
  });
  t.is(answers.length, 2);
  for (const {statement, ran} of answers) {
    t.deepEqual(statement, said);
    t.true(ran);
  }
  const shed = {...headers, 'vanillaspool-shed': 'true', 'retry-after': '0'};
  const refusals = await collectStatements(response =>
    response.writeHead(503, shed).end(),
  );
  t.true(refusals.length >= 2);
  for (const {statement, ran} of refusals) {
    t.deepEqual(statement, said);
    t.false(ran);
  }
});

test('two limits in one answer are none', async t => {
  const answers = await collectStatements(response => {
    response.setHeader('vanillaspool-limit', ['5', '6']);
    response.end('whole');
  });
  const [{statement}] = answers;
  t.is(statement.limit, undefined);
  t.deepEqual(statement.problems, ['vanillaspool-limit: 5, 6']);
});

test('a refusal of another request is not taken for one of this request', async t => {
  const server = await startServer((_, response) => {
    response.setHeader('vanillaspool-request', 'other');
    response.setHeader('vanillaspool-shed', 'true');
    response.writeHead(503).end();
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [server.address],
  });
  const [{address}] = fleet.daemons;
  const {text} = await sendRaw(address, rawRequest('POST /rota/a'));
  t.true(text.includes('"outcome":"unknown"'), text);
  await fleet.stop();
  await server.stop();
});

test('an answer to another request says nothing of its upstream', async t => {
  const answers = await collectStatements(response => {
    response.setHeader('vanillaspool-request', 'other');
    response.setHeader('vanillaspool-limit', '5');
    response.setHeader('vanillaspool-shed', 'true');
    response.writeHead(503).end();
  });
  t.deepEqual(answers, []);
});
