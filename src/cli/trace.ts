import {EXIT, UsageError, type Result} from './result.js';

/** One line of a log that names the request. */
export interface TraceLine {
  /** Time of the event, in Unix milliseconds. */
  readonly at: number;
  readonly instance: string;
  readonly event: number;
  readonly message: string;
  readonly details: string;
}

/** Fields that are shown in columns of their own. */
const COLUMN_FIELDS = [
  'time',
  'level',
  'event',
  'message',
  'instance',
  'request',
];

/**
 * Finds the lines of the log that name a request, in the order of time. A line
 * may begin with anything before its JSON object, as logs that were collected
 * from many processes do.
 *
 * @example
 * findTrace(text, '9c41d07be2a35f68').map(line => line.message);
 */
export function findTrace(text: string, request: string): readonly TraceLine[] {
  const lines: TraceLine[] = [];
  for (const line of text.split('\n')) {
    if (!line.includes(request)) continue;
    const record = readRecord(line.slice(line.indexOf('{')));
    if (record?.request !== request) continue;
    const details = Object.entries(record)
      .filter(([name]) => !COLUMN_FIELDS.includes(name))
      .map(([name, value]) => `${name}=${String(value)}`);
    lines.push({
      at: Date.parse(String(record.time)),
      instance: String(record.instance),
      event: Number(record.event),
      message: String(record.message),
      details: details.join(' '),
    });
  }
  return lines.sort((a, b) => a.at - b.at);
}

function readRecord(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return undefined; // A line of another program that names the request.
  }
}

/**
 * Prints what logs say of one request, with the time since its first line.
 *
 * @throws {UsageError} when no line names it.
 *
 * @example
 * trace(readText('fleet.log'), '9c41d07be2a35f68').lines;
 */
export function trace(text: string, request: string): Result {
  const found = findTrace(text, request);
  if (found.length === 0) {
    throw new UsageError(`no line of the log names request ${request}`);
  }
  const start = found[0].at;
  const lines = found.map(({at, instance, event, message, details}) => {
    const elapsed = `+${at - start} ms`.padStart(10);
    return `${elapsed}  ${instance}  ${event}  ${message}  ${details}`;
  });
  return {code: EXIT.ok, lines, report: {request, lines: found}};
}
