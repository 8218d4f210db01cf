import {createServer} from 'node:http';
import test from 'ava';
import {
  ControlError,
  createControlClient,
  declareLost,
  type Context,
} from '../../src/cli/index.js';
import {memberKey} from '../../src/store/index.js';
import {listen} from '../../standin/listen.js';
import {createMemoryPlatform} from '../../standin/platform/index.js';

test('the control client asks the documented paths', async t => {
  const requests: string[] = [];
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`);
    const isDrain = request.url === '/drain';
    response.statusCode = isDrain ? 202 : 200;
    response.end(isDrain ? '' : '{"instance": "a"}');
  });
  const address = await listen(server, 0);
  const control = createControlClient();
  t.is((await control.status(address)).instance, 'a');
  await control.explain(address, 's', 'a/b c');
  await control.drain(address);
  t.deepEqual(requests, [
    'GET /status',
    'GET /explain?service=s&key=a%2Fb+c',
    'POST /drain',
  ]);
  server.closeAllConnections();
  server.close();
  await t.throwsAsync(() => control.status(address), {
    instanceOf: ControlError,
  });
});

test('a lease that was recorded as ended can still be declared lost', async t => {
  const platform = createMemoryPlatform();
  const key = memberKey('a');
  const record = {instance: 'a', generation: 1, state: 'ended'};
  await platform.put(key, JSON.stringify(record), 0);
  const status = async () => {
    throw new ControlError('silent');
  };
  const context = {platform, control: {status}, log: () => {}};
  const result = await declareLost(context as unknown as Context, 'a');
  t.is(result.code, 0);
  t.regex((await platform.get(key))!.value, /"processEnded":true/);
});

test('an instance that registers anew meanwhile is not declared lost', async t => {
  const platform = createMemoryPlatform();
  const key = memberKey('a');
  const record = {instance: 'a', control: {host: '127.0.0.1', port: 1}};
  const put = (generation: number, expected: number) => {
    const value = JSON.stringify({...record, generation, state: 'serving'});
    return platform.put(key, value, expected);
  };
  await put(1, 0);
  const status = async () => {
    await put(2, 1);
    throw new ControlError('silent');
  };
  const context = {platform, control: {status}, log: () => {}};
  const result = await declareLost(context as unknown as Context, 'a');
  t.is(result.code, 1);
  t.regex((await platform.get(key))!.value, /"generation":2,"state":"serving"/);
});
