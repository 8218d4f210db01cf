/** Limits of a retry budget. */
export interface RetryLimits {
  /** Retries per forwarded request, from 0 to 1. */
  readonly share: number;
  /** Retries available before any request is forwarded; the maximum of the budget. */
  readonly reserve: number;
}

/** A retry budget. Each retry costs one token. */
export interface RetryBudget {
  readonly limits: RetryLimits;
  readonly tokens: number;
}

/**
 * Creates a budget with a full reserve.
 *
 * @throws {RangeError} if the share is not from 0 to 1 or the reserve is negative.
 *
 * @example
 * createRetryBudget({share: 0.1, reserve: 10}).tokens; // 10
 */
export function createRetryBudget(limits: RetryLimits): RetryBudget {
  const {share, reserve} = limits;
  if (!(share >= 0 && share <= 1)) {
    throw new RangeError(`share of retries must be from 0 to 1, got ${share}`);
  }
  if (!(reserve >= 0))
    throw new RangeError(`reserve must not be negative, got ${reserve}`);
  return {limits, tokens: reserve};
}

/**
 * Returns the budget with another share and the same tokens.
 *
 * @throws {RangeError} if the share is not from 0 to 1.
 *
 * @example
 * withRetryShare(budget, 0.2).limits.share; // 0.2
 */
export function withRetryShare(
  budget: RetryBudget,
  share: number,
): RetryBudget {
  const {limits} = createRetryBudget({...budget.limits, share});
  return {...budget, limits};
}

/**
 * Returns the budget after a first attempt was forwarded, which adds the share of
 * a token.
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
 * Returns the budget after one retry, or undefined if too few tokens are left.
 *
 * @param reserved Tokens that must remain for other retries.
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
