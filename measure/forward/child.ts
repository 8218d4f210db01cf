import {runClosedLoop, runOpenLoop} from './load.js';
import {startRole, type Role} from './roles.js';
import type {Address} from '../../src/model/index.js';

/** What the measuring process asks of one of its children. */
export type Command =
  | {readonly kind: 'start'; readonly role: Role}
  | {readonly kind: 'usage'}
  | {
      readonly kind: 'closed';
      readonly address: Address;
      readonly requests: number;
      readonly connections: number;
    }
  | {
      readonly kind: 'open';
      readonly address: Address;
      readonly rate: number;
      readonly durationMs: number;
      readonly connections: number;
    };

async function execute(command: Command): Promise<unknown> {
  switch (command.kind) {
    case 'start':
      return startRole(command.role);
    case 'usage': {
      const {user, system} = process.cpuUsage();
      return user + system;
    }
    case 'closed':
      return runClosedLoop(
        command.address,
        command.requests,
        command.connections,
      );
    case 'open':
      return runOpenLoop(
        command.address,
        command.rate,
        command.durationMs,
        command.connections,
      );
  }
}

process.on('message', (command: Command) => {
  void execute(command).then(value => process.send?.({value}));
});
process.on('disconnect', () => process.exit());
