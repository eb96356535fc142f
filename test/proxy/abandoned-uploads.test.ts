/**
 * Guards against uploads that are sent on, or kept waiting, after their callers have left: the end of a connection is not
 * seen while the body in front of it is unread.
 */
import net, { type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from './rig.js';

const LEAVE_AFTER_MS = 90;
const LEAVE_TAKES_EFFECT_MS = 500;
const BODY_BYTES = 400_000;
const LEFT_PATH = '/left';

interface Upload {
  readonly name: string;
  /** Machine of the back end; the caller's node is n1. */
  readonly machine: 'n1' | 'n2';
  readonly isChunked?: boolean;
  readonly sentBytes: number;
}

const UPLOADS: readonly Upload[] = [
  { name: 'own back end, whole body', machine: 'n1', sentBytes: BODY_BYTES },
  { name: 'own back end, part of the body', machine: 'n1', sentBytes: BODY_BYTES / 2 },
  { name: 'own back end, chunked', machine: 'n1', sentBytes: BODY_BYTES, isChunked: true },
  { name: 'back end of another node, whole body', machine: 'n2', sentBytes: BODY_BYTES },
  { name: 'back end of another node, part of the body', machine: 'n2', sentBytes: BODY_BYTES / 2 },
  {
    name: 'back end of another node, chunked',
    machine: 'n2',
    sentBytes: BODY_BYTES,
    isChunked: true,
  },
];

function messageOf({ isChunked = false, sentBytes }: Upload): string {
  const framing = isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${BODY_BYTES}`;
  const head = `POST ${LEFT_PATH} HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`;
  const body = 'x'.repeat(sentBytes);
  return head + (isChunked ? `${sentBytes.toString(16)}\r\n${body}\r\n` : body);
}

describe('an upload that waits for a slot while its caller leaves', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let finishBusy = (): void => undefined;

  async function startMesh(machine: string): Promise<void> {
    target = await startRawEndpoint((socket, head) => {
      if (head.includes('/busy')) {
        finishBusy = () => socket.write(rawAnswer('done'));
      } else {
        socket.write(rawAnswer('ran'));
      }
    });
    mesh = new TestMesh();
    node = await mesh.addNode('n1');
    await mesh.addNode('n2');
    const endpoint = echoEndpoint('e1', target.port, { machine, slots: 1 });
    mesh.configure([...echoService({ timeoutMs: 8_000 }), endpoint]);
  }

  function connect(): Socket {
    const socket = net.connect(node.callerPort, '127.0.0.1');
    socket.on('error', () => undefined);
    return socket;
  }

  function dispatches(): number {
    const name = 'ferryspool_endpoint_dispatches_total';
    return mesh.nodes.reduce((sum, { counters }) => sum + (counters.get(name) ?? 0), 0);
  }

  /** Number of requests that were sent on although their caller had left. */
  async function countSent(upload: Upload): Promise<number> {
    await startMesh(upload.machine);
    const busy = connect();
    busy.write('GET /busy HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => target.heads.length === 1);
    const leaving = connect();
    leaving.write(messageOf(upload));
    await delay(LEAVE_AFTER_MS);
    leaving.destroy();
    await delay(LEAVE_TAKES_EFFECT_MS);
    finishBusy();
    await delay(LEAVE_AFTER_MS);
    const count = dispatches() - 1;
    busy.destroy();
    mesh.close();
    target.close();
    return count;
  }

  it('is not sent on, whatever its framing and whoever owns the back end', async function () {
    this.timeout(20_000);
    const sent: Record<string, number> = {};
    for (const upload of UPLOADS) {
      sent[upload.name] = await countSent(upload);
    }
    expect(sent).to.deep.equal(Object.fromEntries(UPLOADS.map(({ name }) => [name, 0])));
  });

  /** Guards against a refusal that its caller can't read because the rest of the body is left unread. */
  it('is answered if it is refused while a long body is still arriving', async () => {
    await startMesh('n1');
    const busy = connect();
    busy.write('GET /busy HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => target.heads.length === 1);
    const upload = connect();
    let answer = '';
    upload.on('data', (chunk: Buffer) => (answer += chunk.toString('latin1')));
    const length = 20 * BODY_BYTES;
    upload.write(
      `POST /long HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 300\r\nContent-Length: ${length}\r\n\r\n`,
    );
    upload.write('x'.repeat(length));
    await until(() => answer.includes('\r\n\r\n'));
    expect(answer).to.match(/^HTTP\/1.1 5/);
    await until(() => upload.destroyed);
    busy.destroy();
    mesh.close();
    target.close();
  });
});
