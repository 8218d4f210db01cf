export * from './answer.js';
export * from './exchange.js';
export * from './info.js';
export * from './pools.js';
