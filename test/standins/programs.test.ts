import { expect } from 'chai';
import { ChildFailedError, ChildGroup, parseJsonLine } from '../../tools/shared/child-process.js';
import { getJson } from '../../tools/shared/json-client.js';

const PROGRAMS = {
  platform: { file: 'dist/standins/platform/main.js', args: ['--reader-bound', '1'] },
  'back end': { file: 'dist/standins/backend/main.js', args: ['--slots', '1', '--drain-ms', '0'] },
};

describe('stand-in programs', () => {
  const children = new ChildGroup();

  after(() => children.end());

  for (const [name, { file, args }] of Object.entries(PROGRAMS)) {
    it(`${name}: prints its ports once it listens, and stops on SIGTERM`, async () => {
      const child = children.start(name, file, args);
      const ports = await child.waitForLine(parseJsonLine);
      expect(ports).to.have.all.keys('port', 'controlPort');
      const control = { host: '127.0.0.1', port: Number(ports.controlPort) };
      expect(await getJson(control, '/counters')).to.be.an('object');
      child.signal('SIGTERM');
      expect(await child.exited).to.deep.equal({ code: 0, signal: null });
    });

    it(`${name}: refuses an unknown flag`, async () => {
      const child = children.start(name, file, ['--no-such-flag']);
      const failure: unknown = await child
        .waitForLine(parseJsonLine)
        .catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(ChildFailedError);
      expect((await child.exited).code).to.not.equal(0);
    });
  }

  it('are killed, each by its id, when their group ends', async () => {
    const group = new ChildGroup();
    const child = group.start('platform', PROGRAMS.platform.file, []);
    await child.waitForLine(parseJsonLine);
    await group.end();
    expect(await child.exited).to.deep.equal({ code: null, signal: 'SIGKILL' });
  });
});
