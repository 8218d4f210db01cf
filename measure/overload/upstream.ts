import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/**
 * An upstream process for the real-time run. It answers `GET /?ms=N` after N
 * milliseconds, refuses with 503 beyond its slots, and writes its port on
 * standard output.
 */
const slots = Number(process.argv[2]);
let running = 0;

const server = createServer((request, response) => {
  if (running >= slots) {
    response.writeHead(503).end();
    return;
  }
  running++;
  const url = new URL(request.url ?? '/', 'http://upstream');
  setTimeout(
    () => {
      running--;
      response.end('done');
    },
    Number(url.searchParams.get('ms')),
  );
});

server.listen(0, '127.0.0.1', () => {
  console.log((server.address() as AddressInfo).port);
});
process.stdin.on('end', () => process.exit(0)).resume();
