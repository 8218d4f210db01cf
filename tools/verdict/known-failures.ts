/** An entry of `KNOWN-RED.txt`: a failure that is known and not yet fixed. */
export interface KnownFailure {
  /** What failed: `test`, or a kind of run that is no test. */
  readonly kind: string;
  /** Title of the test as ava prints it, or a description. */
  readonly title: string;
  /** Number of its first line, from 1. */
  readonly line: number;
  /** Command and seed with which it was seen. */
  readonly command: string;
  readonly seen: string;
  readonly issue: string;
}

/** The entries of a list, and what is wrong with it. */
export interface KnownFailureList {
  readonly entries: readonly KnownFailure[];
  /** Each with the number of its line. */
  readonly findings: readonly string[];
}

/** Fields that each entry must have. */
const FIELDS = ['command', 'seen', 'issue'] as const;

const HEAD = /^([a-z]+): +(\S.*)$/;
const FIELD = /^ {2}([a-z]+): +(\S.*)$/;
const CONTINUATION = /^ {4}\S/;

/** An entry of which further lines may follow. */
interface OpenEntry {
  readonly kind: string;
  readonly title: string;
  readonly line: number;
  readonly fields: ReadonlyMap<string, string>;
  readonly lastField?: string;
}

/**
 * Reads a list of known failures. Text before the first entry is ignored; each
 * later line must belong to an entry, so that no title is lost by a typing
 * error.
 *
 * @example
 * const text = 'test: a › b\n  command: npm test\n  seen: once\n  issue: 20\n';
 * parseKnownFailures(text).entries[0].issue; // '20'
 */
export function parseKnownFailures(text: string): KnownFailureList {
  const opened: OpenEntry[] = [];
  const findings: string[] = [];
  text.split(/\r?\n/).forEach((content, index) => {
    const line = index + 1;
    const head = HEAD.exec(content);
    if (head) {
      const title = head[2].trim();
      opened.push({kind: head[1], title, line, fields: new Map()});
      return;
    }
    const entry = opened.at(-1);
    if (!entry || content.trim() === '') return;
    const extended = extend(entry, content);
    if (extended) opened[opened.length - 1] = extended;
    else findings.push(`line ${line}: not a line of an entry: ${content}`);
  });
  for (const {kind, title, line, fields} of opened) {
    const missing = FIELDS.filter(name => !fields.has(name));
    if (missing.length === 0) continue;
    findings.push(`line ${line}: no ${missing.join(', ')}: ${kind}: ${title}`);
  }
  return {entries: opened.map(close), findings};
}

function extend(entry: OpenEntry, content: string): OpenEntry | undefined {
  const {fields, lastField} = entry;
  const field = FIELD.exec(content);
  if (field) {
    const [, name, value] = field;
    if (!isField(name) || fields.has(name)) return undefined;
    const known = new Map([...fields, [name, value.trim()]]);
    return {...entry, fields: known, lastField: name};
  }
  if (lastField === undefined || !CONTINUATION.test(content)) return undefined;
  const value = `${fields.get(lastField)} ${content.trim()}`;
  return {...entry, fields: new Map([...fields, [lastField, value]])};
}

function isField(name: string): boolean {
  return FIELDS.some(known => known === name);
}

function close({kind, title, line, fields}: OpenEntry): KnownFailure {
  const [command, seen, issue] = FIELDS.map(name => fields.get(name) ?? '');
  return {kind, title, line, command, seen, issue};
}
