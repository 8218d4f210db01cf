/**
 * Opens the connections of HTTP clients, so that each response ends as its sender
 * ended it.
 *
 * @module
 */

export * from './connector.js';
