/** How operators see requests under which endpoints ended, and let one go. */
import { expect } from 'chai';
import { ExitCode } from '../../src/cli/exit-code.js';
import { releaseCommand } from '../../src/cli/commands/release.js';
import { suspicionsCommand } from '../../src/cli/commands/suspicions.js';
import type { CommandTable } from '../../src/cli/run-cli.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { ADMIN_TOKEN, openApi, type ApiFixture } from '../api/api-fixture.js';
import { runCommand } from './cli-fixture.js';

const commands: CommandTable = new Map([
  ['suspicions', suspicionsCommand],
  ['release', releaseCommand],
]);
const PARTS = { method: 'GET', target: '/a', headers: ['Host', 'h'], body: EMPTY_BODY };

describe('commands on requests under suspicion', () => {
  let api: ApiFixture;
  let target: string[];

  beforeEach(async () => {
    api = await openApi({ adminToken: ADMIN_TOKEN });
    target = ['--address', `127.0.0.1:${api.server.port}`, '--token', ADMIN_TOKEN];
  });

  afterEach(() => {
    api.server.abort();
  });

  const run = (...argv: string[]) => runCommand(commands, [...argv, ...target]);

  it('show nothing where nothing is known', async () => {
    expect((await run('suspicions')).output).to.equal('');
    expect((await run('suspicions', '--json')).output).to.equal('{"items":[]}\n');
  });

  it('show what is contained, and for how long, and let it go', async () => {
    ['e1', 'e2', 'e3'].forEach((endpoint) => api.suspicions.endpointEnded(endpoint, [PARTS]));
    const fingerprint = api.suspicions.fingerprintOf(PARTS);
    expect((await run('suspicions')).output).to.equal(
      `${fingerprint}  contained  3 crashes  newest 0 s ago  for 300 s more\n`,
    );
    expect((await run('release', fingerprint)).output).to.equal(`${fingerprint} released\n`);
    expect((await run('suspicions')).output).to.match(/ clear {2}0 crashes /);
    expect(api.suspicions.standingOf(PARTS)).to.equal('clear');
    expect((await run('release', fingerprint)).exitCode).to.equal(ExitCode.NotFound);
  });

  it('refuse what is no fingerprint, and a release without a token', async () => {
    expect((await run('release', 'x')).exitCode).to.equal(ExitCode.Usage);
    const address = target.slice(0, 2);
    const { exitCode } = await runCommand(commands, ['release', 'a'.repeat(40), ...address]);
    expect(exitCode).to.equal(ExitCode.Unauthorized);
  });
});
