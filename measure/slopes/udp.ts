import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {median, type Point} from '../statistics.js';
import type {Result} from '../results.js';
import {fitResults, REPETITIONS} from './figures.js';

/**
 * Measures the processor time of a message sent and received on loopback.
 *
 * @example
 * await udpCosts();
 */
export async function udpCosts(): Promise<readonly Result[]> {
  const sender = await bindSocket();
  const receiver = await bindSocket();
  const payload = Buffer.alloc(100);
  const counts = [2000, 4000, 8000, 16_000];
  const points: Point[] = [];
  await exchangeMessages(sender, receiver, payload, 2000);
  for (const count of counts) {
    const times: number[] = [];
    for (let i = 0; i < REPETITIONS; i++) {
      const before = process.cpuUsage();
      await exchangeMessages(sender, receiver, payload, count);
      const used = process.cpuUsage(before);
      times.push(used.user + used.system);
    }
    points.push({x: count, y: median(times)});
  }
  sender.close();
  receiver.close();
  return fitResults('udp-message', points, 'us', 'messages');
}

async function bindSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return socket;
}

/** Sends messages one after another, each answered by the receiver. */
async function exchangeMessages(
  sender: Socket,
  receiver: Socket,
  payload: Buffer,
  messages: number,
): Promise<void> {
  const pairs = messages / 2;
  await new Promise<void>(resolve => {
    let done = 0;
    const send = () =>
      sender.send(payload, receiver.address().port, '127.0.0.1');
    receiver.removeAllListeners('message');
    sender.removeAllListeners('message');
    receiver.on('message', (data, from) =>
      receiver.send(data, from.port, from.address),
    );
    sender.on('message', () => {
      if (++done < pairs) send();
      else resolve();
    });
    send();
  });
}
