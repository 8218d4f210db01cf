import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/**
 * Upstream process of the real-time run. Responds to `GET /?ms=N` after N
 * milliseconds, or with 503 at once if all slots are in use. Writes its port to
 * standard output and exits when standard input closes.
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
