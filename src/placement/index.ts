export * from './assign.js';
export * from './chain.js';
export * from './chunk.js';
export * from './layout.js';
export * from './pool.js';
export * from './rank.js';
export * from './successors.js';
