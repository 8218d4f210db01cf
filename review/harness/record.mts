import {closeSync, openSync, writeSync} from 'node:fs';

/** Writes what was sent, answered and run, with the time since the start. */
export interface Recorder {
  readonly note: (text: string) => void;
  readonly close: () => void;
}

/** Opens the record of a case. */
export function openRecord(path: string): Recorder {
  const file = openSync(path, 'w');
  const startedAt = Date.now();
  return {
    note: text => {
      const seconds = ((Date.now() - startedAt) / 1000).toFixed(3);
      writeSync(file, `${seconds.padStart(8)} ${text}\n`);
    },
    close: () => closeSync(file),
  };
}
