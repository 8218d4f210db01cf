export * from './choose.js';
