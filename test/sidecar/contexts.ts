import type {Incarnation} from '../../src/ranges/index.js';
import {
  createHeartbeatDelivery,
  type DeliveryContext,
  type InstanceManagerContext,
} from '../../src/sidecar/index.js';

/** What a test in virtual time decides about the store and the clock. */
type StoreContext = Pick<
  InstanceManagerContext,
  'store' | 'view' | 'observeChange' | 'clock'
>;

/** Lease of the keys in these contexts, in milliseconds. */
export const LEASE_MS = 5000;

/**
 * Creates the context of an instance manager in virtual time whose daemon has no
 * peers and grants keys by heartbeat.
 *
 * @param options Fields that replace the default ones.
 *
 * @example
 * createInstanceManager(
 *   createManagerContext({store, view, observeChange, clock}, {node: '10.1.0.8:1'}),
 * );
 */
export function createManagerContext(
  context: StoreContext,
  options: Partial<InstanceManagerContext>,
): InstanceManagerContext {
  return {
    ...context,
    log: () => {},
    readThroughPeer: () => Promise.resolve(undefined),
    node: '10.1.0.8:7620',
    domain: 'north',
    service: 'desk',
    instance: '10.1.0.8:8301',
    wallClock: context.clock,
    isKeyed: () => true,
    heartbeatMs: 800,
    leaseMs: LEASE_MS,
    drainMs: 2000,
    onInstanceStart: () => {},
    onStatement: () => {},
    createDelivery: createHeartbeatDelivery,
    ...options,
  };
}

/**
 * Creates the context of a delivery in virtual time whose daemon has no peers,
 * and whose instance is ready.
 *
 * @param options Fields that replace the default ones.
 *
 * @example
 * createHeartbeatDelivery(
 *   createDeliveryContext({store, view, observeChange, clock}, incarnation, {}),
 * );
 */
export function createDeliveryContext(
  context: StoreContext,
  incarnation: Incarnation,
  options: Partial<DeliveryContext>,
): DeliveryContext {
  return {
    ...context,
    log: () => {},
    readThroughPeer: () => Promise.resolve(undefined),
    wallClock: context.clock,
    sleep: () => new Promise(() => {}),
    leaseMs: LEASE_MS,
    recipient: () => ({
      incarnation,
      service: 'desk',
      address: {host: '10.1.0.8', port: 8301},
      state: 'ready',
      isSilent: false,
    }),
    onAnswer: () => {},
    onStatement: () => {},
    onChange: () => {},
    ...options,
  };
}
