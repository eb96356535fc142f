import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import type { WriteOutcome } from '../../src/api/write-port.js';
import { applyCommand } from '../../src/cli/commands/apply.js';
import { deleteCommand } from '../../src/cli/commands/delete.js';
import { getCommand } from '../../src/cli/commands/get.js';
import { statusCommand } from '../../src/cli/commands/status.js';
import { watchCommand } from '../../src/cli/commands/watch.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import type { CommandTable } from '../../src/cli/run-cli.js';
import {
  ADMIN_TOKEN,
  openApi,
  routeOf,
  SECRET_VALUE,
  secretOf,
  serviceOf,
  type ApiFixture,
} from '../api/api-fixture.js';
import { runCommand, temporaryFiles } from './cli-fixture.js';

const commands: CommandTable = new Map([
  ['apply', applyCommand],
  ['delete', deleteCommand],
  ['get', getCommand],
  ['status', statusCommand],
  ['watch', watchCommand],
]);

const RESOURCES = `
resources:
  - { kind: route, name: all, spec: { pathPrefix: /, service: maps } }
  - { kind: service, name: maps, spec: {} }
  - { kind: secret, name: stamp, spec: { value: ${SECRET_VALUE} } }
`;

describe('commands over the resource API', () => {
  let api: ApiFixture;
  let target: string[];
  const files = temporaryFiles({
    'all.yaml': RESOURCES,
    'one.json': '{"kind":"service","name":"tiles","spec":{"requestTimeoutMs":9}}',
    'bad.yaml': '[{ kind: service, name: tiles, spec: { color: 1 } }]',
    'none.yaml': '',
  });

  beforeEach(async () => {
    api = await openApi({ adminToken: ADMIN_TOKEN });
    api.view.set(4, serviceOf('tiles'), secretOf('stamp'), routeOf('all', 'tiles'));
    target = ['--address', `127.0.0.1:${api.server.port}`, '--token', ADMIN_TOKEN];
  });

  afterEach(() => {
    api.server.abort();
  });

  after(() => {
    files.remove();
  });

  const run = (...argv: string[]) => runCommand(commands, [...argv, ...target]);

  it('get lists a kind by either name, and shows one resource', async () => {
    for (const kind of ['services', 'service']) {
      expect((await run('get', kind)).output).to.match(/^# cursor 4\..*\ntiles [0-9a-f]+ \{/);
    }
    expect((await run('get', 'route', 'all')).output).to.match(/^kind: route\n[^]*pathPrefix: \//);
    const { output } = await run('get', 'secrets', '--json');
    expect(output)
      .to.match(/"name":"stamp"/)
      .and.not.to.contain(SECRET_VALUE);
  });

  it('status shows what the node holds and which source version it refused', async () => {
    const { output, exitCode } = await run('status');
    expect(exitCode).to.equal(ExitCode.Success);
    expect(output).to.match(/^node +m1 at 127\.0\.0\.1, zone a/);
    expect(output).to.match(/refused version 9: route\/r: dangling/);
    expect(output).to.match(/^limited +e1: 3\.3 requests\/s, 12 sent in 4 s, 30 refused$/m);
    expect(JSON.parse((await run('status', '--json')).output)).to.have.property('held');
  });

  it('watch prints changes until interrupted and tells where to resume', async () => {
    const interrupt = new AbortController();
    let changed = false;
    const result = await runCommand(
      commands,
      ['watch', 'services', ...target],
      (output) => {
        if (!changed) {
          changed = true;
          setImmediate(() => api.view.set(5, serviceOf('maps')));
        } else if (output.includes('- service/tiles')) {
          interrupt.abort();
        }
      },
      interrupt.signal,
    );
    expect(result.exitCode).to.equal(ExitCode.Success);
    expect(result.output).to.match(
      /^\+ service\/tiles \S+\n\+ service\/maps \S+\n- service\/tiles/,
    );
    // The bookmark of version 5 may or may not have arrived before the interrupt.
    expect(result.errors).to.match(/^resume with --from [45]\./);
  });

  it('watch ends with the unreachable code when the node stops, and tells where to resume', async () => {
    let stopped: Promise<void> | undefined;
    const argv = ['watch', 'services', '--json', ...target];
    const result = await runCommand(commands, argv, (output) => {
      if (output.includes('bookmark')) {
        stopped ??= api.server.stop();
      }
    });
    expect(result.exitCode).to.equal(ExitCode.Unreachable);
    expect(result.errors).to.match(/^STOPPING: .*\nresume with --from 4\./);
    await stopped;
  });

  it('watch from a cursor of another history exits with the code to list again', async () => {
    const cursor = `1.${'a'.repeat(32)}-0.${'0'.repeat(32)}`;
    const result = await run('watch', 'services', '--from', cursor);
    expect(result.exitCode).to.equal(ExitCode.ListAgain);
    expect(result.errors).to.match(/LIST_AGAIN/);
  });

  it('apply writes what others refer to first, and replaces only what it has seen', async () => {
    const { output, exitCode } = await run('apply', files.path('all.yaml'));
    expect(exitCode).to.equal(ExitCode.Success);
    expect(output.split('\n').map((line) => line.split(' ')[0])).to.deep.equal([
      'service/maps',
      'secret/stamp',
      'route/all',
      '',
    ]);
    expect(api.writes.map(({ precondition }) => precondition.type)).to.deep.equal([
      'absent',
      'version',
      'version',
    ]);
    expect(output).not.to.contain(SECRET_VALUE);
  });

  it('apply stops at the first that is not accepted and names what was not sent', async () => {
    api.answer = ({ key }): Promise<WriteOutcome> =>
      Promise.resolve(
        key === 'secret/stamp'
          ? { outcome: 'refused', reason: 'no majority', retryAfterMs: 1 }
          : { outcome: 'accepted', operatorRevision: 1 },
      );
    const { errors, output, exitCode } = await run('apply', files.path('all.yaml'));
    expect(exitCode).to.equal(ExitCode.NotAccepted);
    expect(output).to.equal('service/maps accepted at revision 1\n');
    expect(errors).to.match(/secret\/stamp failed; not sent: route\/all\nNOT_ACCEPTED/);
  });

  it('delete removes the version that it has seen', async () => {
    const { output } = await run('delete', 'service', 'tiles', '--json');
    expect(JSON.parse(output)).to.include({ kind: 'service', name: 'tiles', operatorRevision: 1 });
    expect(api.writes[0]?.precondition.type).to.equal('version');
  });

  const preconditions: readonly (readonly [string[], object])[] = [
    [['--create'], { type: 'absent' }],
    [['--if-match', '*'], { type: 'exists' }],
    [['--if-match', 'ab12'], { type: 'version', version: 'ab12' }],
  ];
  for (const [flags, precondition] of preconditions) {
    it(`apply states the precondition of ${flags.join(' ')}`, async () => {
      await run('apply', files.path('one.json'), ...flags);
      expect(api.writes[0]?.precondition).to.deep.equal(precondition);
    });
  }

  const faults = [{ path: 'route/all', reason: 'refers to missing service/tiles' }];
  const outcomes: readonly (readonly [WriteOutcome, ExitCode, RegExp])[] = [
    [{ outcome: 'conflict', currentVersion: 'ab' }, ExitCode.Conflict, /PRECONDITION_FAILED/],
    [{ outcome: 'invalid', faults }, ExitCode.InvalidInput, /route\/all: refers to missing/],
    [{ outcome: 'refused', reason: 'x', retryAfterMs: 1 }, ExitCode.NotAccepted, /not accepted: x/],
    [{ outcome: 'unknown', reason: 'y' }, ExitCode.MayBeAccepted, /may have been accepted: y/],
  ];
  for (const [outcome, exitCode, message] of outcomes) {
    it(`delete exits with ${exitCode} when a write ends as ${outcome.outcome}`, async () => {
      api.answer = () => Promise.resolve(outcome);
      const result = await run('delete', 'services', 'tiles');
      expect(result.exitCode).to.equal(exitCode);
      expect(result.errors).to.match(message);
    });
  }

  const misuse: readonly (readonly [string[], ExitCode, RegExp])[] = [
    [['get'], ExitCode.Usage, /no kind: expected one of services/],
    [['get', 'pods'], ExitCode.Usage, /unknown kind "pods"/],
    [['get', 'services', 'Tiles'], ExitCode.Usage, /name "Tiles": expected lower-case/],
    [['get', 'services', 'a', 'b'], ExitCode.Usage, /unexpected argument "b"/],
    [['get', 'services', 'none'], ExitCode.NotFound, /NOT_FOUND/],
    [['delete', 'services'], ExitCode.Usage, /no name/],
    [['delete', 'services', 'none'], ExitCode.NotFound, /NOT_FOUND/],
    [['delete', 'services', 'tiles', '--create'], ExitCode.Usage, /no --create/],
    [['watch', 'services', '--from', '12'], ExitCode.InternalError, /MALFORMED_REQUEST: from/],
    [['apply'], ExitCode.Usage, /expected a file/],
    [['apply', 'no-such-file'], ExitCode.InvalidInput, /no-such-file: expected a readable file/],
    [['apply', files.path('bad.yaml')], ExitCode.InvalidInput, /bad\.yaml: resources\.0\.spec: /],
    [['apply', files.path('none.yaml')], ExitCode.InvalidInput, /none\.yaml: resources\.0/],
    [['apply', files.path('all.yaml'), '--create'], ExitCode.Usage, /a file with one resource/],
    [['apply', files.path('one.json'), '--create', '--if-match', 'a'], ExitCode.Usage, /not both/],
  ];
  for (const [argv, exitCode, message] of misuse) {
    it(`${argv.slice(0, 3).join(' ').replace(files.path(''), '')} exits with ${exitCode}`, async () => {
      const result = await run(...argv);
      expect(result.exitCode).to.equal(exitCode);
      expect(result.errors).to.match(message);
      expect(api.writes).to.deep.equal([]);
    });
  }

  it('asks for an address, and refuses one that is no IP number and port', async () => {
    expect((await runCommand(commands, ['status'])).errors).to.match(/--address ip:port/);
    const result = await runCommand(commands, ['status', '--address', 'localhost:80']);
    expect(result.exitCode).to.equal(ExitCode.Usage);
  });

  it('exits with the code for a token that is missing or wrong', async () => {
    const address = target.slice(0, 2);
    for (const token of [[], ['--token', 'wrong']]) {
      const result = await runCommand(commands, ['status', ...address, ...token]);
      expect(result.exitCode).to.equal(ExitCode.Unauthorized);
    }
  });

  describe('when the node does not answer', () => {
    const cases: readonly (readonly [string, RequestListener, string, ExitCode])[] = [
      ['text', (_, response) => response.end('hello'), 'get', ExitCode.Unreachable],
      ['another JSON', (_, response) => response.end('{"a":1}'), 'get', ExitCode.Unreachable],
      [
        'a bare 502',
        (_, response) => response.writeHead(502).end('x'),
        'get',
        ExitCode.Unreachable,
      ],
      ['a cut', (request) => request.socket.destroy(), 'get', ExitCode.Unreachable],
      ['another JSON', (_, response) => response.end('{}'), 'delete', ExitCode.MayBeAccepted],
      ['a cut of a write', (request) => request.socket.destroy(), 'delete', ExitCode.MayBeAccepted],
      [
        'a bare 502',
        (_, response) => response.writeHead(502).end('x'),
        'delete',
        ExitCode.MayBeAccepted,
      ],
    ];
    for (const [what, listener, command, exitCode] of cases) {
      it(`${command} exits with ${exitCode} on ${what}`, async () => {
        const server = await listen(listener);
        try {
          const { port } = server.address() as AddressInfo;
          const argv = [command, 'services', 'tiles', '--address', `127.0.0.1:${port}`];
          const ifMatch = command === 'delete' ? ['--if-match', 'ab'] : [];
          const result = await runCommand(commands, [...argv, ...ifMatch]);
          expect(result.exitCode).to.equal(exitCode);
          expect(result.errors).not.to.equal('');
        } finally {
          server.close();
        }
      });
    }

    it('a write that never left is proved not to have been accepted', async () => {
      const server = await listen(() => undefined);
      const { port } = server.address() as AddressInfo;
      await new Promise((resolve) => server.close(resolve));
      const argv = ['delete', 'services', 'tiles', '--if-match', 'ab'];
      const result = await runCommand(commands, [...argv, '--address', `127.0.0.1:${port}`]);
      expect(result.exitCode).to.equal(ExitCode.Unreachable);
      expect(result.errors).to.match(/ECONNREFUSED/);
    });
  });

  function listen(listener: RequestListener): Promise<Server> {
    const server = createServer(listener);
    return new Promise((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve(server));
    });
  }
});
