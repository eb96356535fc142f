/** The platform stand-in as a program. */
import meow from 'meow';
import { runProgram } from '../shared/run-program.js';
import { PlatformStandIn } from './platform-stand-in.js';

const HELP = `
  Usage
    $ node dist/standins/platform/main.js [options]

  Options
    --host          IP address to listen on (default 127.0.0.1)
    --port          Port for readers (default 0: a free one)
    --control-port  Port for tests and the demo (default 0: a free one)
    --reader-bound  Readers at once at most (default 4)

  Prints one JSON line with its ports once it listens. Stops on SIGTERM.
`;

const cli = meow(HELP, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'number', default: 0 },
    controlPort: { type: 'number', default: 0 },
    readerBound: { type: 'number', default: 4 },
  },
});

runProgram(await PlatformStandIn.start(cli.flags));
