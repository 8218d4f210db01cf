import {parseKind, type RequestKind} from '../src/load/index.js';

/** Request kinds of each deployment, with weight and body length. */
export const REQUEST_MIXES: Readonly<Record<string, readonly RequestKind[]>> = {
  newsroom: [
    'GET /rota/{key} 60',
    'POST /swaps/{key} 20 300',
    'GET /swaps/{key} 8',
    'POST /call-ins/ 8 200',
    'PUT /imports/{key} 3 65536',
    'PUT /imports/{key} 1 1048576',
  ].map(parseKind),
  rental: [
    'GET /stock/{key} 60',
    'POST /bookings/{key} 20 400',
    'GET /bookings/{key} 8',
    'POST /trucks/ 8 200',
    'PUT /plans/{key} 3 131072',
    'PUT /plans/{key} 1 2097152',
  ].map(parseKind),
};
