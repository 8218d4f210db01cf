// Writes docs/EVENTS.md from the events.ts files of all modules. With --check,
// fails if the file is not current.
import {declarations, repeated, table, writePage} from './catalogue.mjs';

const isEvent = entry =>
  typeof entry?.number === 'number' && typeof entry.message === 'string';
const events = await declarations('events.ts', isEvent);
const twice = repeated(events.map(event => event.number));
if (twice.length > 0) {
  console.error(`event numbers used twice: ${twice.join(', ')}`);
  process.exit(1);
}
events.sort((a, b) => a.number - b.number);
const rows = events.map(({number, level, module, message}) => [
  number,
  level,
  module,
  message,
]);
const text = `# Log events

Each line of the log is a JSON object with \`time\`, \`level\`, \`event\` (the
number), \`message\`, \`instance\` and the fields of the event. A number keeps its
meaning for good: match on it, not on the message.

${table(['Event', 'Level', 'Module', 'Message'], rows)}
`;
process.exit(await writePage('docs/EVENTS.md', text, process.argv));
