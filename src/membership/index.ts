export * from './choose.js';
export * from './mirror.js';
