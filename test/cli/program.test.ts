import { spawn, type ChildProcessByStdio } from 'node:child_process';
import { connect, type Socket } from 'node:net';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { expect } from 'chai';
import { statusCommand } from '../../src/cli/commands/status.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import { runCommand, temporaryFiles } from './cli-fixture.js';

const TOKEN = 'token-token-token';
const SETTINGS = `
machine: { id: m1, address: 127.0.0.1, zone: a, region: r }
fleetKey: 0123456789abcdef
adminToken: ${TOKEN}
ports: { caller: 0, relay: 0, control: 0, admin: 0 }
`;
const MAIN = new URL('../../src/cli/main.js', import.meta.url).pathname;

/** A node in a process of its own. */
class NodeProcess {
  readonly exited: Promise<number | null>;
  private readonly lines: Record<string, unknown>[] = [];
  private waiting: (() => void) | undefined;

  constructor(private readonly child: ChildProcessByStdio<null, Readable, null>) {
    this.exited = new Promise((resolve) => child.on('close', resolve));
    createInterface({ input: child.stdout }).on('line', (line) => {
      this.lines.push(JSON.parse(line) as Record<string, unknown>);
      this.waiting?.();
    });
  }

  /** The first line about `event`. */
  async line(event: string): Promise<Record<string, unknown>> {
    for (;;) {
      const found = this.lines.find((line) => line['event'] === event);
      if (found !== undefined) {
        return found;
      }
      await new Promise<void>((resolve) => (this.waiting = resolve));
    }
  }

  async adminPort(): Promise<number> {
    const { ports } = (await this.line('node-started')) as { ports?: { admin: number } };
    return ports?.admin ?? 0;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }
}

/** A write whose body never ends: a planned stop has to wait for it. */
async function openUnfinishedWrite(port: number): Promise<Socket> {
  const head = [
    'PUT /v1/services/a HTTP/1.1',
    'host: node',
    `authorization: Bearer ${TOKEN}`,
    'if-none-match: *',
    'content-length: 100',
    'expect: 100-continue',
  ];
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  // The node answers `100 Continue` once it has taken the request.
  await new Promise((resolve) => socket.once('data', resolve));
  return socket;
}

describe('the ferryspool program as a node', () => {
  const files = temporaryFiles({ 'node.yaml': SETTINGS });
  let node: NodeProcess;

  beforeEach(() => {
    const argv = [MAIN, 'node', '--settings', files.path('node.yaml')];
    node = new NodeProcess(spawn(process.execPath, argv, { stdio: ['ignore', 'pipe', 'inherit'] }));
  });

  afterEach(async () => {
    node.signal('SIGKILL');
    await node.exited;
  });

  after(() => {
    files.remove();
  });

  it('prints its ports, answers operators, and ends a planned stop with 0', async () => {
    const address = `127.0.0.1:${await node.adminPort()}`;
    const argv = ['status', '--address', address, '--token', TOKEN];
    const status = await runCommand(new Map([['status', statusCommand]]), argv);
    expect(status.exitCode).to.equal(ExitCode.Success);
    expect(status.output).to.match(/^node +m1 at 127\.0\.0\.1/);
    node.signal('SIGTERM');
    expect(await node.line('node-stopping')).to.include({ signal: 'SIGTERM' });
    expect(await node.exited).to.equal(ExitCode.Success);
    expect(await node.line('node-stopped')).to.include({ kind: 'planned' });
  });

  it('waits for a request in flight, until a second SIGINT forces it', async () => {
    const socket = await openUnfinishedWrite(await node.adminPort());
    node.signal('SIGINT');
    await node.line('node-stopping');
    node.signal('SIGINT');
    expect(await node.exited).to.equal(ExitCode.ForcedStop);
    expect(await node.line('node-stopped')).to.include({ kind: 'forced' });
    socket.destroy();
  });
});
