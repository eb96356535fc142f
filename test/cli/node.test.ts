import { EventEmitter } from 'node:events';
import { expect } from 'chai';
import { createNodeCommand } from '../../src/cli/commands/node.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import type { RunningNode } from '../../src/cli/running-node.js';
import type { Settings } from '../../src/settings/settings.js';
import { runCommand } from './cli-fixture.js';

const PORTS = { caller: 1, relay: 2, control: 3, admin: 4 };
const REQUIRED = [
  ...['--machine-id', 'm1', '--machine-address', '10.0.0.1', '--zone', 'a', '--region', 'r'],
  ...['--set', 'fleetKey=0123456789abcdef'],
];

/** A node whose stop ends when the test says so. */
class FakeNode implements RunningNode {
  readonly ports = PORTS;
  readonly calls: string[] = [];
  finish: () => void = () => undefined;
  fail: (error: Error) => void = () => undefined;
  readonly stopped = new Promise<void>((resolve, reject) => {
    this.finish = resolve;
    this.fail = reject;
  });

  stop(): Promise<void> {
    this.calls.push('stop');
    return this.stopped;
  }

  abort(): void {
    this.calls.push('abort');
  }
}

interface Run {
  readonly node: FakeNode;
  readonly signals: EventEmitter;
  settings?: Settings;
}

/** Runs `node`; `drive` is called once the line with the ports is out. */
async function runNodeCommand(
  argv: readonly string[],
  drive: (run: Run) => void,
  startError?: Error,
) {
  const run: Run = { node: new FakeNode(), signals: new EventEmitter() };
  const command = createNodeCommand((settings) => {
    run.settings = settings;
    return startError === undefined ? Promise.resolve(run.node) : Promise.reject(startError);
  }, run.signals);
  let started = false;
  const result = await runCommand(new Map([['node', command]]), ['node', ...argv], (output) => {
    if (!started && output.includes('node-started')) {
      started = true;
      setImmediate(() => drive(run));
    }
  });
  const lines = result.output.split('\n').filter((line) => line !== '');
  return {
    ...run,
    ...result,
    events: lines.map((line) => JSON.parse(line) as Record<string, unknown>),
  };
}

describe('ferryspool node', () => {
  const ends: readonly {
    what: string;
    drive: (run: Run) => void;
    exitCode: ExitCode;
    calls: string[];
  }[] = [
    {
      what: 'SIGTERM: planned stop, waits for the node',
      drive: ({ signals, node }) => {
        signals.emit('SIGTERM');
        setImmediate(() => node.finish());
      },
      exitCode: ExitCode.Success,
      calls: ['stop'],
    },
    {
      what: 'SIGINT once: planned stop',
      drive: ({ signals, node }) => {
        signals.emit('SIGINT');
        setImmediate(() => node.finish());
      },
      exitCode: ExitCode.Success,
      calls: ['stop'],
    },
    {
      what: 'SIGINT twice: force, although the planned stop never ends',
      drive: ({ signals }) => {
        signals.emit('SIGINT');
        signals.emit('SIGINT');
      },
      exitCode: ExitCode.ForcedStop,
      calls: ['stop', 'abort'],
    },
    {
      what: 'SIGTERM then SIGINT: still a planned stop',
      drive: ({ signals, node }) => {
        signals.emit('SIGTERM');
        signals.emit('SIGINT');
        setImmediate(() => node.finish());
      },
      exitCode: ExitCode.Success,
      calls: ['stop', 'stop'],
    },
    {
      what: 'a node that fails by itself',
      drive: ({ node }) => node.fail(new Error('listener lost')),
      exitCode: ExitCode.InternalError,
      calls: ['abort'],
    },
  ];
  for (const { what, drive, exitCode, calls } of ends) {
    it(`ends on ${what}`, async () => {
      const result = await runNodeCommand(REQUIRED, drive);
      expect(result.exitCode).to.equal(exitCode);
      expect(result.node.calls).to.deep.equal(calls);
      expect(result.events[0]).to.deep.include({ event: 'node-started', ports: PORTS });
      expect(result.signals.eventNames()).to.deep.equal([]);
    });
  }

  it('hands flags over as settings, --set last', async () => {
    const argv = [...REQUIRED, '--caller-port', '0', '--seed', '[::1]:82', '--seed', '10.0.0.9:83'];
    const assignments = ['machine.zone=b', 'lease.durationMs=8000', 'ports.relay=0'];
    const { settings } = await runNodeCommand(
      [...argv, ...assignments.flatMap((assignment) => ['--set', assignment])],
      ({ node }) => node.finish(),
    );
    expect(settings?.machine.zone).to.equal('b');
    expect(settings?.ports).to.include({ caller: 0, relay: 0 });
    expect(settings?.lease.durationMs).to.equal(8000);
    expect(settings?.seeds).to.deep.equal([
      { address: '::1', controlPort: 82 },
      { address: '10.0.0.9', controlPort: 83 },
    ]);
  });

  it('reports a start that fails as one line', async () => {
    const error = new Error('listen EADDRINUSE 10.0.0.1:8080');
    const result = await runNodeCommand(REQUIRED, () => undefined, error);
    expect(result.exitCode).to.equal(ExitCode.InternalError);
    expect(result.events).to.have.length(1);
    expect(result.events[0]).to.include({ event: 'node-start-failed', reason: error.message });
  });

  const misuse: readonly (readonly [string, string[], ExitCode, RegExp])[] = [
    [
      'a seed by name',
      ['--seed', 'peer:80'],
      ExitCode.Usage,
      /--seed = "peer:80": expected ip:port/,
    ],
    ['a seed without port', ['--seed', '10.0.0.1'], ExitCode.Usage, /--seed/],
    ['port 0 of a seed', ['--seed', '10.0.0.1:0'], ExitCode.Usage, /--seed/],
    ['--set without value', ['--set', 'lease'], ExitCode.Usage, /--set: expected path=value/],
    ['--set with broken YAML', ['--set', 'lease={'], ExitCode.Usage, /lease: expected YAML/],
    ['--set of no setting', ['--set', 'a.b=1'], ExitCode.InvalidInput, /a: no such setting/],
    ['a port that is none', ['--admin-port', 'x'], ExitCode.InvalidInput, /ports\.admin = "x"/],
    ['a file that is missing', ['--settings', 'none.yaml'], ExitCode.InvalidInput, /none\.yaml/],
  ];
  for (const [what, argv, exitCode, message] of misuse) {
    it(`refuses ${what} before anything starts`, async () => {
      const result = await runNodeCommand([...REQUIRED, ...argv], () => undefined);
      expect(result.exitCode).to.equal(exitCode);
      expect(result.errors).to.match(message);
      expect(result.settings).to.equal(undefined);
    });
  }
});
