import type {Route} from './configuration.js';

/** Credit of each part of a route, in the order of the parts. */
export type SplitState = readonly number[];

/** The service chosen for one request and the state for the next. */
export interface SplitStep {
  readonly service: string;
  readonly state: SplitState;
}

/**
 * Chooses the service of a request by the weights of the route's parts: each
 * part earns its weight, the one with most credit is chosen and pays for it.
 * Any run of requests keeps close to the weights.
 *
 * @example
 * const {service, state} = chooseService(route, before);
 */
export function chooseService(
  route: Route,
  state: SplitState | undefined,
): SplitStep {
  const {parts} = route;
  if (parts.length === 1) return {service: parts[0].service, state: [0]};
  const previous = state?.length === parts.length ? state : parts.map(() => 0);
  const credit = parts.map((part, i) => previous[i] + part.weight);
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  let chosen = 0;
  for (let i = 1; i < credit.length; i++) {
    if (credit[i] > credit[chosen]) chosen = i;
  }
  credit[chosen] -= total;
  return {service: parts[chosen].service, state: credit};
}
