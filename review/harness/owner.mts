import type {Endpoint, Hold} from './endpoint.mjs';
import type {Recorder} from './record.mjs';

/** Checks the rule OWNER as it is written, from what the endpoints see. */
export interface OwnerCheck {
  readonly violations: readonly string[];
  readonly watch: (endpoint: Endpoint) => void;
  readonly close: () => void;
}

/** Holds of the same keys by two endpoints that are longer break the rule. */
const LONGEST_OVERLAP_MS = 500;
const SAMPLE_MS = 20;

/** Starts a check; endpoints are added as they start. */
export function createOwnerCheck(record: Recorder): OwnerCheck {
  const endpoints: Endpoint[] = [];
  const violations: string[] = [];
  const overlapSince = new Map<string, number>();
  const told = new Set<string>();
  const violate = (text: string) => {
    violations.push(text);
    record.note(`BROKEN: ${text}`);
  };
  const others = (endpoint: Endpoint) =>
    endpoints.filter(other => other !== endpoint && other.isUp);

  /** The highest fencing token of each key, and the endpoint that had it. */
  const tokens = new Uint32Array(65_536);
  const holders: string[] = [];
  const checkFences = (endpoint: Endpoint, {from, to, fence}: Hold) => {
    let isTold = false;
    for (let key = from; key <= to; key++) {
      const known = tokens[key];
      const holder = holders[key];
      if (
        holder !== undefined &&
        known >= fence &&
        holder !== endpoint.id &&
        !isTold
      ) {
        isTold = true;
        violate(
          `${endpoint.id} takes key ${key} with the fencing token ${fence}; ${holder} had it with ${known}`,
        );
      }
      if (fence <= known) continue;
      holders[key] = endpoint.id;
      tokens[key] = fence;
    }
  };

  const watch = (endpoint: Endpoint) => {
    endpoints.push(endpoint);
    endpoint.onGrant = (range, isRenewal) => {
      if (isRenewal) return;
      for (const other of others(endpoint)) {
        for (const {id, key = -1, holdUntil} of other.running) {
          if (key < range.from || key > range.to) continue;
          if (Date.now() >= holdUntil) continue;
          const leftMs = holdUntil - Date.now();
          violate(
            `${endpoint.id} is given ${range.from}-${range.to} while ${other.id} is at work on key ${key} (${id}), ${leftMs} ms before its hold would have run out`,
          );
        }
      }
      checkFences(endpoint, range);
    };
  };

  const sample = () => {
    const now = Date.now();
    const live = endpoints.filter(({isUp}) => isUp);
    const seen = new Set<string>();
    for (const [index, a] of live.entries()) {
      for (const b of live.slice(index + 1)) {
        for (const x of a.holds) {
          if (now >= x.until) continue;
          for (const y of b.holds) {
            if (now >= y.until || y.to < x.from || x.to < y.from) continue;
            const name = `${a.id} ${b.id}`;
            seen.add(name);
            const since = overlapSince.get(name) ?? now;
            overlapSince.set(name, since);
            if (now - since <= LONGEST_OVERLAP_MS || told.has(name)) continue;
            told.add(name);
            violate(
              `${a.id} and ${b.id} hold ${Math.max(x.from, y.from)}-${Math.min(x.to, y.to)} for over half a second, with the fencing tokens ${x.fence} and ${y.fence}`,
            );
          }
        }
      }
    }
    for (const name of overlapSince.keys()) {
      if (!seen.has(name)) overlapSince.delete(name);
    }
  };
  const timer = setInterval(sample, SAMPLE_MS);
  return {violations, watch, close: () => clearInterval(timer)};
}
