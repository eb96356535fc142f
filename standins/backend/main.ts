/** The back end stand-in as a program. */
import meow from 'meow';
import { writeSync } from 'node:fs';
import { runProgram } from '../shared/run-program.js';
import { BackendStandIn } from './backend-stand-in.js';
import type { Execution } from './execution-ledger.js';

const STANDARD_OUTPUT = 1;

const HELP = `
  Usage
    $ node dist/standins/backend/main.js [options]

  Options
    --name             Name in its answers (default backend)
    --host             IP address to listen on (default 127.0.0.1)
    --port             Port for requests (default 0: a free one)
    --control-port     Port for tests and the demo (default 0: a free one)
    --slots            Requests that run at once (default 20)
    --max-connections  Connections at once (default 130)
    --work-ms          Work time of a request that names none (default 2)
    --print-ledger     Print each change of the ledger, before what follows from it, as a JSON line
    --drain-ms         Time for which SIGTERM refuses new requests at least (default 2000)

  Prints one JSON line with its ports once it listens. SIGTERM drains, then stops.
`;

const cli = meow(HELP, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    name: { type: 'string', default: 'backend' },
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'number', default: 0 },
    controlPort: { type: 'number', default: 0 },
    slots: { type: 'number', default: 20 },
    maxConnections: { type: 'number', default: 130 },
    workMs: { type: 'number', default: 2 },
    printLedger: { type: 'boolean', default: false },
    drainMs: { type: 'number', default: 2_000 },
  },
});

const { slots, maxConnections, workMs, drainMs, printLedger, ...listening } = cli.flags;

/** Written at once: it outlives a killed process. */
function printChange(index: number, execution: Execution): void {
  writeSync(STANDARD_OUTPUT, `${JSON.stringify({ index, execution })}\n`);
}

const backend = await BackendStandIn.start({
  name: listening.name,
  host: listening.host,
  port: listening.port,
  controlPort: listening.controlPort,
  ...(printLedger && { ledgerListener: printChange }),
  settings: { slots, maxConnections, work: { distribution: 'fixed', workMs } },
});
runProgram({ ports: backend.ports, stop: () => backend.drainAndStop(drainMs) });
