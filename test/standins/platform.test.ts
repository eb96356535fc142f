import { once } from 'node:events';
import { Agent } from 'node:http';
import { expect } from 'chai';
import { PlatformStandIn } from '../../standins/platform/platform-stand-in.js';
import { call, connect, control, readUntilClose } from './http-client.js';

const GET = 'GET /v1/configuration HTTP/1.1\r\nhost: platform\r\n\r\n';

function document(version: number, service = 'tiles'): { version: number; resources: unknown[] } {
  return { version, resources: [{ kind: 'service', name: service, spec: {} }] };
}

describe('platform stand-in', () => {
  let platform: PlatformStandIn;
  let port: number;
  let controlPort: number;

  beforeEach(async () => {
    platform = await PlatformStandIn.start({ readerBound: 2 });
    ({ port, controlPort } = platform.ports);
    await control(controlPort, '/configuration', { document: document(1) });
    await control(controlPort, '/configuration', { document: document(2, 'parcels') });
  });

  afterEach(() => platform.stop());

  const read = (headers: Record<string, string> = {}): ReturnType<typeof call> =>
    call(port, '/v1/configuration', { headers });

  it('serves the newest document under its version', async () => {
    const result = await read();
    expect(result.status).to.equal(200);
    expect(result.headers.etag).to.equal('"2"');
    expect(JSON.parse(result.text)).to.deep.equal(document(2, 'parcels'));
  });

  const conditions = [
    { etag: '"2"', status: 304 },
    { etag: '"1"', status: 200 },
    { etag: '2', status: 200 },
  ];
  for (const { etag, status } of conditions) {
    it(`answers ${status} to If-None-Match ${etag}`, async () => {
      expect((await read({ 'if-none-match': etag })).status).to.equal(status);
      expect(platform.counters().notModified).to.equal(status === 304 ? 1 : 0);
    });
  }

  const faults = [
    { name: 'stale', path: '/settings', command: { staleVersion: 1 }, body: document(1) },
    { name: 'restarted', path: '/restart-from-zero', command: {}, body: document(1, 'parcels') },
    {
      name: 'another document under one version',
      path: '/configuration',
      command: { document: document(2, 'extracts') },
      body: document(2, 'extracts'),
    },
  ];
  for (const { name, path, command, body } of faults) {
    it(`serves a fault: ${name}`, async () => {
      await control(controlPort, path, command);
      expect(JSON.parse((await read()).text)).to.deep.equal(body);
    });
  }

  it('serves malformed text as it is', async () => {
    await control(controlPort, '/configuration', { raw: '{"version":', version: 3 });
    expect(await read()).to.include({ status: 200, text: '{"version":' });
  });

  it('stops being stale when told to', async () => {
    await control(controlPort, '/settings', { staleVersion: 1 });
    await control(controlPort, '/settings', { staleVersion: null });
    expect((await read()).headers.etag).to.equal('"2"');
  });

  it('shows a change of machines only after the lag', async () => {
    await control(controlPort, '/machines', { version: 1, machines: [] });
    await control(controlPort, '/settings', { machinesLagMs: 60_000 });
    await control(controlPort, '/machines', { version: 2, machines: [] });
    const result = await call(port, '/v1/machines');
    expect(JSON.parse(result.text)).to.deep.equal({ version: 1, machines: [] });
  });

  it('refuses a connection over the bound and counts it, on both documents together', async () => {
    const first = connect(port);
    const second = connect(port);
    first.write(GET);
    second.write(GET.replace('configuration', 'machines'));
    await Promise.all([once(first, 'data'), once(second, 'data')]);
    const refused = await read();
    expect(refused.status).to.equal(503);
    expect(refused.headers['retry-after']).to.equal('1');
    expect(platform.counters()).to.include({ readers: 2, peakReaders: 2, readersRefused: 1 });
    first.destroy();
    second.destroy();
  });

  it('takes a reader again once another has gone', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await control(controlPort, '/settings', { readerBound: 1 });
    await call(port, '/v1/configuration', { agent });
    expect((await read()).status).to.equal(503);
    agent.destroy();
    let status = 503;
    while (status === 503) {
      status = (await read()).status;
    }
    expect(status).to.equal(200);
    expect(platform.counters().peakReaders).to.equal(1);
  });

  it('counts reads and bytes', async () => {
    await read();
    await read({ 'if-none-match': '"2"' });
    const counters = platform.counters();
    expect(counters).to.include({ reads: 2, notModified: 1 });
    expect(counters.bytesOut).to.be.greaterThan(JSON.stringify(document(2, 'parcels')).length);
  });

  it('answers 503 while unavailable, and serves after', async () => {
    await control(controlPort, '/settings', { outage: 'unavailable' });
    expect((await read()).status).to.equal(503);
    await control(controlPort, '/settings', { outage: 'none' });
    expect((await read()).status).to.equal(200);
  });

  it('resets connections while it refuses, those of readers too', async () => {
    const reader = connect(port);
    reader.write(GET);
    await once(reader, 'data');
    const closed = readUntilClose(reader);
    await control(controlPort, '/settings', { outage: 'refuse' });
    await closed;
    const failure = await read().catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(Error);
  });

  it('answers after its delay: readers at once meet', async () => {
    await control(controlPort, '/settings', { answerDelayMs: 1_000_000 });
    const reader = connect(port);
    reader.write(GET);
    while (platform.counters().readers === 0) {
      await new Promise(setImmediate);
    }
    await control(controlPort, '/settings', { answerDelayMs: 0 });
    expect((await read()).status).to.equal(200);
    expect(platform.counters()).to.include({ reads: 1, peakReaders: 2 });
    reader.destroy();
  });

  it('never answers while it hangs', async () => {
    await control(controlPort, '/settings', { outage: 'hang' });
    const reader = connect(port);
    reader.write(GET);
    const received = readUntilClose(reader);
    while (platform.counters().readers === 0) {
      await new Promise(setImmediate);
    }
    await platform.stop();
    expect(await received).to.equal('');
  });

  it('refuses commands that it does not know', async () => {
    const failure = await control(controlPort, '/settings', { outtage: 'none' }).catch(
      (error: unknown) => error,
    );
    expect(failure).to.be.instanceOf(Error);
  });
});
