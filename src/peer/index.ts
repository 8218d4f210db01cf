export * from './codec.js';
export * from './datagrams.js';
export * from './follow.js';
export * from './signing.js';
export * from './window.js';
