import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Address} from '../src/model/index.js';

/** Line with which a stand-in prints its address. */
const LISTENING_LINE = /^\{"listening":.*\}$/m;

/** A process that the demo started. */
export interface Process {
  readonly name: string;
  readonly pid: number;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
  readonly isRunning: () => boolean;
  /** Resolves with the address that a stand-in prints. */
  readonly listening: Promise<Address>;
}

/** Processes of one run, killed when the demo's process exits. */
export interface Processes {
  /** Starts a compiled script, given by its path in the build directory. */
  readonly start: (
    name: string,
    script: string,
    args: readonly string[],
  ) => Process;
  readonly running: () => readonly Process[];
  /** Kills every running process and waits for its exit. */
  readonly killAll: () => Promise<void>;
}

/**
 * Creates an empty set of processes.
 *
 * @param directory Directory for one log file per process.
 *
 * @example
 * const processes = createProcesses('/tmp/demo');
 * processes.start('platform', 'standin/platform/main.js', ['--port', '0']);
 */
export function createProcesses(directory: string): Processes {
  const all: Process[] = [];
  const running = () => all.filter(process => process.isRunning());
  process.on('exit', () => running().forEach(p => p.signal('SIGKILL')));
  return {
    start: (name, script, args) => {
      const started = startProcess(directory, name, script, args);
      all.push(started);
      return started;
    },
    running,
    killAll: async () => {
      const left = running();
      left.forEach(process => process.signal('SIGKILL'));
      await Promise.all(left.map(process => process.exited));
    },
  };
}

function startProcess(
  directory: string,
  name: string,
  script: string,
  args: readonly string[],
): Process {
  const file = fileURLToPath(new URL(`../${script}`, import.meta.url));
  const log = openSync(join(directory, `${name}.log`), 'a');
  const child = spawn(process.execPath, [file, ...args], {
    stdio: ['ignore', 'pipe', log],
  });
  closeSync(log);
  const listening = readListening(name, child);
  listening.catch(() => {});
  return {
    name,
    pid: child.pid ?? 0,
    signal: signal => child.kill(signal),
    exited: once(child, 'exit').then(([code]) => code as number | null),
    isRunning: () => child.exitCode === null && child.signalCode === null,
    listening,
  };
}

function readListening(name: string, child: ChildProcess): Promise<Address> {
  return new Promise((resolve, reject) => {
    let text = '';
    child.stdout?.on('data', (part: Buffer) => {
      text += part.toString();
      const line = LISTENING_LINE.exec(text)?.[0];
      if (line) resolve((JSON.parse(line) as {listening: Address}).listening);
    });
    child.once('exit', () =>
      reject(new Error(`${name} exited before it printed its address`)),
    );
  });
}
