/**
 * Guards against answers of endpoints in trouble whose status is 000 and that reach a caller as answers, on the paths on
 * which an answer is held, follows an interim one, or is fetched while a node stops.
 */
import { once } from 'node:events';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { StoreClient } from '../../platform/store-client.js';
import { PlatformClient } from '../../src/source/platform-client.js';
import { AdminClient } from '../../src/cli/admin-client.js';
import {
  call,
  echoEndpoint,
  echoService,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
} from './rig.js';

const FORMS = [
  { form: 'with a body', bytes: 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok' },
  { form: 'without a reason', bytes: 'HTTP/1.1 000\r\nContent-Length: 0\r\n\r\n' },
  { form: 'in chunks', bytes: 'HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' },
  { form: 'without a length', bytes: 'HTTP/1.1 000 OK\r\n\r\nok' },
  { form: 'with one digit', bytes: 'HTTP/1.1 0 OK\r\nContent-Length: 2\r\n\r\nok' },
  { form: 'of HTTP/1.0', bytes: 'HTTP/1.0 000 OK\r\nContent-Length: 2\r\n\r\nok' },
  {
    form: 'behind an interim answer',
    bytes: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok',
  },
  {
    form: 'behind early hints',
    bytes: 'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok',
  },
  {
    form: 'before a whole answer',
    bytes:
      'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
  },
  { form: 'larger than what is held', bytes: longAnswer() },
];
const STOP_LIMITS = { stopNoticeMs: 50, stopAcceptMs: 100, stopTimeoutMs: 800, stopAnswerMs: 50 };

function longAnswer(): string {
  return `HTTP/1.1 000 OK\r\nContent-Length: 50000\r\n\r\n${'x'.repeat(50_000)}`;
}

describe('an answer with the status 000', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let answerLater: (() => void) | undefined;

  beforeEach(() => {
    mesh = new TestMesh();
    answerLater = undefined;
  });

  afterEach(() => {
    mesh.close();
    target.close();
  });

  async function start(machine: string, bytes: string, isHeldBack = false): Promise<number> {
    target = await startRawEndpoint((socket) => {
      answerLater = () => void socket.write(bytes, 'latin1');
      if (!isHeldBack) {
        answerLater();
      }
    });
    mesh.configure([
      ...echoService({ timeoutMs: 1_000, repeatable: false }),
      echoEndpoint('e1', target.port, { machine }),
    ]);
    const { callerPort } = await mesh.addNode('n1', STOP_LIMITS);
    await mesh.addNode('n2', STOP_LIMITS);
    return callerPort;
  }

  for (const { path, machine } of [
    { path: 'direct', machine: 'n1' },
    { path: 'relayed', machine: 'n2' },
  ]) {
    for (const { form, bytes } of FORMS) {
      it(`reaches no caller: ${form}, ${path}`, async () => {
        const port = await start(machine, bytes);
        const { status, body, isWhole } = await call(port, { method: 'POST' });
        expect({ status, isWhole }).to.deep.equal({ status: 502, isWhole: true });
        expect(body).to.contain('"verdict":"may-have-run"');
      });

      it(`reaches no caller of a node that stops: ${form}, ${path}`, async () => {
        const port = await start(machine, bytes, true);
        const answered = call(port, { method: 'POST' });
        await until(() => answerLater !== undefined);
        const stopped = Promise.all(mesh.nodes.map(({ proxy }) => proxy.stop()));
        answerLater?.();
        const { status, body } = await answered;
        await stopped;
        expect(status).to.equal(502);
        expect(body).to.contain('"verdict":"may-have-run"');
      });
    }
  }
});

describe('a server whose answers have the status 000', () => {
  let server: Server;
  let port: number;
  let bytes: string;

  beforeEach(async () => {
    server = net.createServer((socket: Socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end(bytes, 'latin1'));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    ({ port } = server.address() as AddressInfo);
  });

  afterEach(() => server.close());

  const body = '{"at":7,"items":[],"events":[]}';
  const bodyAnswer = `HTTP/1.1 000 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

  it('is no store', async () => {
    bytes = bodyAnswer;
    const client = new StoreClient({ address: '127.0.0.1', port });
    expect((await client.list(undefined, 'current')).outcome).to.equal('unavailable');
    expect((await client.watch(1, 10, 'current')).outcome).to.equal('unavailable');
    client.close();
  });

  it('is no configuration source', async () => {
    bytes = bodyAnswer;
    const url = `http://127.0.0.1:${port}/`;
    const client = new PlatformClient({ configurationUrl: url, machinesUrl: url });
    const answer = await client.read('source', 0, performance.now() + 1_000);
    expect(answer.outcome).to.equal('unavailable');
    client.close();
  });

  it('is no admin port that has taken a write', async () => {
    bytes = 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}';
    const client = new AdminClient(
      { host: '127.0.0.1', port },
      undefined,
      new AbortController().signal,
    );
    const outcome = await client
      .call({ method: 'PUT', path: '/v1/x', body: {} })
      .catch((error: unknown) => error);
    expect(outcome).to.be.instanceOf(Error);
  });
});
