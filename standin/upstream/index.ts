export * from './answer.js';
export * from './journal.js';
export * from './fence.js';
export * from './options.js';
export * from './server.js';
export * from './slots.js';
export * from './start.js';
export * from './upstream.js';
