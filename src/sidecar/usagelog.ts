import type {RouteResults, SlotUsage} from '../relay/index.js';
import type {EventFields} from '../telemetry/index.js';

/**
 * Returns whether a usage is worth a line of the log: requests were refused, or
 * slots were held by requests that were not answered in time.
 *
 * @example
 * if (needsReport(usage)) log(RELAY_EVENTS.slotsUsed, usageFields(usage));
 */
export function needsReport({usedMs, refused}: SlotUsage): boolean {
  const {late, failed, abandoned} = usedMs;
  return refused.size > 0 || late + failed + abandoned > 0;
}

/**
 * Returns the log fields of the use of slots; times in whole milliseconds.
 *
 * @example
 * usageFields(meter.take()).idleMs;
 */
export function usageFields(usage: SlotUsage): EventFields {
  const {usedMs, refused, started} = usage;
  return {
    intervalMs: Math.round(usage.intervalMs),
    offeredMs: Math.round(usage.offeredMs),
    inTimeMs: Math.round(usedMs.inTime),
    lateMs: Math.round(usedMs.late),
    failedMs: Math.round(usedMs.failed),
    abandonedMs: Math.round(usedMs.abandoned),
    idleMs: Math.round(usage.idleMs),
    waitedMs: Math.round(usage.waitedMs),
    started,
    refused: formatCounts(refused),
  };
}

/**
 * Returns the log fields of the results of a route.
 *
 * @example
 * resultFields(results).failed; // 'overloaded=12 no-owner=3'
 */
export function resultFields(results: RouteResults): EventFields {
  return {...results, failed: formatCounts(results.failed)};
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([reason, count]) => `${reason}=${count}`).join(' ');
}
