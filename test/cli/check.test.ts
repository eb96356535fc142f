import { spawnSync } from 'node:child_process';
import { expect } from 'chai';
import { checkCommand } from '../../src/cli/commands/check.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import { runCommand, temporaryFiles } from './cli-fixture.js';

const SECRET = 'hunter2-hunter2-hunter2';
const SETTINGS = `machine: {id: m1, address: 10.0.0.1, zone: a, region: r}\nfleetKey: ${SECRET}\n`;
const SERVICE = { kind: 'service', name: 'tiles', spec: {} };
const ENDPOINT = {
  kind: 'endpoint',
  name: 'tiles-1',
  spec: {
    service: 'tiles',
    address: '10.0.0.2',
    port: 80,
    zone: 'a',
    region: 'r',
    slots: 1,
    maxConnections: 1,
  },
};
const secretOf = (value: unknown): unknown => ({ kind: 'secret', name: 's', spec: { value } });

function configuration(...resources: unknown[]): string {
  return JSON.stringify({ version: 1, resources });
}

const commands = new Map([['check', checkCommand]]);

async function check(text: string, ...flags: string[]) {
  const files = temporaryFiles({ 'input.yaml': text });
  try {
    return await runCommand(commands, ['check', files.path('input.yaml'), ...flags]);
  } finally {
    files.remove();
  }
}

describe('ferryspool check', () => {
  it('accepts settings and configuration documents', async () => {
    expect((await check(SETTINGS)).output).to.match(/input\.yaml: settings valid/);
    const result = await check(configuration(SERVICE, ENDPOINT), '--json');
    expect(result.exitCode).to.equal(ExitCode.Success);
    expect(JSON.parse(result.output)).to.include({ ok: true, kind: 'configuration' });
  });

  it('prints complete documents without secrets', async () => {
    const printed = await check(SETTINGS, '--print');
    expect(printed.output)
      .to.match(/durationMs: 6000/)
      .and.not.to.contain('hunter2');
    const document = await check(configuration(SERVICE, secretOf(SECRET)), '--print');
    expect(document.output)
      .to.match(/requestTimeoutMs: 5000/)
      .and.not.to.contain('hunter2');
  });

  it('prints all defaults without a file', async () => {
    const { exitCode, output } = await runCommand(commands, ['check', '--print', '--json']);
    expect(exitCode).to.equal(ExitCode.Success);
    expect(JSON.parse(output)).to.deep.include({
      lease: { durationMs: 6000, renewIntervalMs: 2000 },
    });
  });

  const refused: readonly (readonly [string, string, RegExp])[] = [
    ['bad settings', `${SETTINGS}ports: {admin: -1}`, /input\.yaml: ports\.admin = -1: .*>=0/],
    ['no document', '{', /input\.yaml: expected YAML or JSON; .* at line 1/],
    ['no version', '{"resources": []}', /version: .*expected number/],
    ['version 0', '{"version": 0, "resources": []}', /version = 0: .*>=1/],
    ['resources that are no list', '{"version": 1, "resources": 7}', /resources = 7: .*array/],
    [
      'an unknown kind',
      configuration({ kind: 'cluster', name: 'x', spec: {} }),
      /resources\.0\.kin/,
    ],
    [
      'an unknown field',
      configuration({ ...SERVICE, spec: { color: 1 } }),
      /resources\.0\.spec: .*"color"/,
    ],
    [
      'a host name as address',
      configuration(SERVICE, { ...ENDPOINT, spec: { ...ENDPOINT.spec, address: 'localhost' } }),
      /resources\.1\.spec\.address = "localhost": expected an IP number/,
    ],
    [
      'a port out of range',
      configuration(SERVICE, { ...ENDPOINT, spec: { ...ENDPOINT.spec, port: 0 } }),
      /resources\.1\.spec\.port = 0: .*>=1/,
    ],
    ['a dangling reference', configuration(ENDPOINT), /endpoint\/tiles-1: refers to missing serv/],
    ['a name that stands twice', configuration(SERVICE, SERVICE), /service\/tiles: name stands tw/],
    [
      'a name with capitals',
      configuration({ ...SERVICE, name: 'Tiles' }),
      /name = "Tiles": expect/,
    ],
    ['an oversized secret', configuration(secretOf('hunter2'.repeat(2000))), /spec\.value: .*8192/],
    [
      'a secret of a misspelt kind',
      configuration({ ...SERVICE, kind: SECRET }),
      /resources\.0\.kind/,
    ],
    ['a numeric secret', configuration(secretOf(4711)), /spec\.value: .*expected string/],
  ];
  for (const [what, text, message] of refused) {
    it(`refuses ${what}, naming file, path, value and what was expected`, async () => {
      const { exitCode, errors, output } = await check(text);
      expect(exitCode).to.equal(ExitCode.InvalidInput);
      expect(errors).to.match(message);
      expect(errors + output).not.to.match(/hunter2|4711/);
      const json = JSON.parse((await check(text, '--json')).output) as { ok: boolean };
      expect(json).to.have.property('ok', false);
      expect(json).to.have.nested.property('faults[0].expected');
    });
  }

  const misuse: readonly (readonly [string, string[], RegExp])[] = [
    ['no command', [], /no command: expected one of check/],
    ['an unknown command', ['chekc'], /unknown command "chekc"/],
    ['no file', ['check'], /expected a file, or --print/],
    ['two files', ['check', 'a', 'b'], /expected one file/],
  ];
  for (const [what, argv, message] of misuse) {
    it(`exits with the usage code for ${what}`, async () => {
      const { exitCode, errors } = await runCommand(commands, argv);
      expect(exitCode).to.equal(ExitCode.Usage);
      expect(errors).to.match(message);
    });
  }
});

describe('the ferryspool program', () => {
  const main = new URL('../../src/cli/main.js', import.meta.url).pathname;
  const run = (...argv: string[]) =>
    spawnSync(process.execPath, [main, ...argv], { encoding: 'utf8', timeout: 20_000 });

  const cases: readonly (readonly [string[], ExitCode, RegExp])[] = [
    [['--help'], ExitCode.Success, /Usage\n[^]*ferryspool check FILE[^]*Exit codes[^]*130 /],
    [['--version'], ExitCode.Success, /^\d+\.\d+\.\d+$/m],
    [['check', '--print'], ExitCode.Success, /fleetKey: \(required\)/],
    [['check', '--no-such-flag'], ExitCode.Usage, /--no-such-flag/],
    [['check', 'no-such-file.yaml'], ExitCode.InvalidInput, /no-such-file.yaml: expected a reada/],
    [[], ExitCode.Usage, /no command/],
  ];
  for (const [argv, exitCode, text] of cases) {
    it(`answers "${argv.join(' ')}" with exit code ${exitCode}`, () => {
      const result = run(...argv);
      expect(result.stdout + result.stderr).to.match(text);
      expect(result.status).to.equal(exitCode);
    });
  }
});
