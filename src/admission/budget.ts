/** Limits of a retry budget. */
export interface RetryLimits {
  /** Share of retries among forwarded requests, from 0 to 1. */
  readonly share: number;
  /** Retries allowed before any request is forwarded, and kept in reserve. */
  readonly reserve: number;
}

/** Retries that may still be made, in fractions of a retry. */
export interface RetryBudget {
  readonly limits: RetryLimits;
  readonly tokens: number;
}

/**
 * Creates a budget with a full reserve.
 *
 * @throws {RangeError} when the share is not from 0 to 1 or the reserve negative.
 *
 * @example
 * createRetryBudget({share: 0.1, reserve: 10}).tokens; // 10
 */
export function createRetryBudget(limits: RetryLimits): RetryBudget {
  const {share, reserve} = limits;
  if (!(share >= 0 && share <= 1)) {
    throw new RangeError(`share of retries is not from 0 to 1: ${share}`);
  }
  if (!(reserve >= 0)) throw new RangeError(`reserve is negative: ${reserve}`);
  return {limits, tokens: reserve};
}

/**
 * Returns the budget with another share; what it holds stays.
 *
 * @throws {RangeError} when the share is not from 0 to 1.
 *
 * @example
 * withShare(budget, 0.2).limits.share; // 0.2
 */
export function withRetryShare(
  budget: RetryBudget,
  share: number,
): RetryBudget {
  const {limits} = createRetryBudget({...budget.limits, share});
  return {...budget, limits};
}

/**
 * Returns the budget after a first attempt was forwarded.
 *
 * @example
 * countForwarded({limits: {share: 0.1, reserve: 10}, tokens: 2}).tokens; // 2.1
 */
export function countForwarded(budget: RetryBudget): RetryBudget {
  const {limits, tokens} = budget;
  if (tokens >= limits.reserve) return budget;
  return {limits, tokens: Math.min(limits.reserve, tokens + limits.share)};
}

/**
 * Returns the budget after one retry, or undefined when none is left.
 *
 * @param reserved Retries that this one leaves to others.
 *
 * @example
 * spendRetry({limits: {share: 0.1, reserve: 10}, tokens: 0.5}); // undefined
 */
export function spendRetry(
  budget: RetryBudget,
  reserved = 0,
): RetryBudget | undefined {
  if (budget.tokens < 1 + reserved) return undefined;
  return {limits: budget.limits, tokens: budget.tokens - 1};
}
