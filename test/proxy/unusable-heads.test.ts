/**
 * Guards against heads that Node's parser accepts and its writer throws on: passing one on must fail that request alone,
 * and must not end the process with all the other requests on it.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import type { Endpoint } from '../../src/model/resource.js';
import { answerHeadFault, isTargetWritable } from '../../src/proxy/message-head.js';
import { RelayedAttempt } from '../../src/proxy/relay/relayed-attempt.js';
import type {
  AnswerFrame,
  FailureFrame,
  FrameLoad,
  RequestFrame,
} from '../../src/proxy/relay/relay-frame.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { MACHINE_TIME } from '../../src/proxy/scheduler.js';
import { openRelay } from './relay-sender.js';
import {
  call,
  callRaw,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
} from './rig.js';

const DEADLINE_MS = 1_000;
/** Each byte, and characters that only other nodes can send, since headers are read as Latin-1. */
const CHARACTERS = [
  ...Array.from({ length: 256 }, (_, code) => String.fromCharCode(code)),
  '\u0100',
  '\u2028',
  '\ud800',
];
const UNUSABLE_HEADS = [
  ...['000', '001', '099', '101', '600', '999'].map((status) => `HTTP/1.1 ${status} OK\r\n`),
  'HTTP/1.1 200 OK\r\na b: c\r\n',
];

function isWritten(status: number, headers: readonly string[]): boolean {
  const response = new http.ServerResponse(
    new http.IncomingMessage(undefined as unknown as Socket),
  );
  try {
    response.writeHead(status, [...headers]);
    return true;
  } catch {
    return false;
  }
}

function isSent(target: string): boolean {
  try {
    const request = http.request({ path: target, host: '127.0.0.1', port: 1 });
    request.on('error', () => undefined);
    request.destroy();
    return true;
  } catch {
    return false;
  }
}

describe('heads that cannot be passed on', () => {
  let mesh: TestMesh;
  let target: RawEndpoint | undefined;

  beforeEach(() => {
    mesh = new TestMesh();
  });

  afterEach(() => {
    mesh.close();
    target?.close();
  });

  /** Starts a node with callers; the endpoint, which answers requests to /odd with `bytes`, is beside `machine`. */
  async function startMesh(machine: string, bytes: string): Promise<number> {
    target = await startRawEndpoint((socket, head) => {
      socket.write(head.startsWith('POST /odd') ? bytes : rawAnswer('sound'));
    });
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', target.port, { machine }),
    ]);
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    return callerPort;
  }

  for (const head of UNUSABLE_HEADS) {
    const bytes = `${head}Content-Length: 2\r\n\r\nhi`;
    for (const machine of ['n1', 'n2']) {
      it(`fail their request alone: ${JSON.stringify(head)} beside ${machine}`, async () => {
        const port = await startMesh(machine, bytes);
        const odd = await call(port, { method: 'POST', path: '/odd' });
        expect(odd.status).to.equal(502);
        expect(odd.body).to.include('MALFORMED_ANSWER').and.include('may-have-run');
        expect((await call(port, { path: '/even' })).body).to.equal('sound');
      });
    }
  }

  it('prove no refusal: a status that does not exist with the header of a refusal', async () => {
    const bytes = 'HTTP/1.1 000 OK\r\nx-not-started: 1\r\nContent-Length: 0\r\n\r\n';
    const { body } = await call(await startMesh('n2', bytes), { method: 'POST', path: '/odd' });
    expect(body).to.include('may-have-run');
  });

  it('fail their request alone when its answer waits for its turn on the connection', async () => {
    const port = await startMesh('n1', 'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n');
    const text = await callRaw(
      port,
      'GET /even HTTP/1.1\r\nHost: a\r\n\r\n' +
        'POST /odd HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n',
    );
    expect(text).to.match(/^HTTP\/1.1 200 [^]*sound[^]*HTTP\/1.1 502 /);
  });

  for (const head of ['GET /a\tb HTTP/1.1', 'GET /a\fb HTTP/1.1', 'GET / HTTP/1.1\r\na b: c']) {
    it(`are refused to callers: ${JSON.stringify(head)}`, async () => {
      const port = await startMesh('n1', '');
      const text = await callRaw(port, `${head}\r\nHost: a\r\nConnection: close\r\n\r\n`);
      expect(text).to.match(/^HTTP\/1.1 400 /);
      expect(target?.heads).to.deep.equal([]);
    });
  }

  const oddRequests: readonly Partial<RequestFrame>[] = [
    { method: 'G T' },
    { method: 'CONNECT' },
    { target: '/\u2028' },
    { target: '/a b' },
    { headers: ['Host'] },
    { headers: ['a b', 'c'] },
    { headers: ['a', '\u0100'] },
    { headers: ['Trailer', 'a'] },
    { requestId: '\u0100' },
  ];
  for (const fields of oddRequests) {
    it(`are refused to other nodes: ${JSON.stringify(fields)}`, async () => {
      await startMesh('n1', '');
      const relayPort = mesh.nodes[0]?.relayPort ?? 0;
      const opened = await openRelay(relayPort, mesh.tokenOf('n2'));
      if (opened.kind !== 'open') {
        throw new Error(`the relay connection was refused with status ${opened.status}`);
      }
      const { sender } = opened;
      expect(await sender.outcome(sender.request(fields))).to.include({
        kind: 'failure',
        code: 'BAD_REQUEST',
        verdict: 'not-run',
      });
      expect(target?.heads).to.deep.equal([]);
      sender.destroy();
    });
  }

  it('are none of those that the check lets through, for each status, character and place', () => {
    for (let status = -1; status <= 1_000; status += 1) {
      if (answerHeadFault(status, []) === undefined) {
        expect(isWritten(status, []), `status ${status}`).to.equal(true);
      }
    }
    for (const character of CHARACTERS) {
      for (const text of [character, `${character}a`, `a${character}`, `a${character}b`]) {
        for (const headers of [[text], [text, 'a'], ['a', text]]) {
          const isLetThrough = answerHeadFault(200, headers) === undefined;
          expect(!isLetThrough || isWritten(200, headers), JSON.stringify(headers)).to.equal(true);
        }
        const path = `/${text}`;
        expect(!isTargetWritable(path) || isSent(path), JSON.stringify(path)).to.equal(true);
      }
    }
  });
});

describe('heads from another node that cannot be passed on', () => {
  const load: FrameLoad = {
    inFlight: 0,
    slots: 1,
    isDraining: false,
    isNodeStopping: false,
    leavingIncarnation: '',
    failedPercent: 0,
    serviceMs: undefined,
    maxRatePerKs: undefined,
    slownessPercent: undefined,
    slownessAgeMs: 0,
  };
  const answer: AnswerFrame = {
    kind: 'answer',
    streamId: 1,
    status: 200,
    headers: ['a', 'b'],
    ...load,
    bodyMs: 0,
    queueMs: 0,
    endpointMs: 0,
    contentLengthBytes: 0,
    isHeld: true,
    bytes: Buffer.alloc(0),
  };
  const failure: FailureFrame = {
    kind: 'failure',
    streamId: 1,
    code: 'ENDPOINT_REFUSED',
    status: 503,
    verdict: 'not-run',
    isRetryable: true,
    retryAfterMs: undefined,
    slotWaitMs: undefined,
    ...load,
  };

  /** What an attempt reports after the frame: the status of the answer, or the code of the error. */
  function reportOf(frame: AnswerFrame | FailureFrame): number | string | undefined {
    let report: number | string | undefined;
    const attempt = new RelayedAttempt(
      1,
      echoEndpoint('e1', 1) as Endpoint,
      {
        requestId: 'r1',
        method: 'GET',
        target: '/',
        headers: [],
        body: EMPTY_BODY,
        deadlineAtMs: MACHINE_TIME.now() + DEADLINE_MS,
        callerNode: 'n1',
        retriesLeft: 0,
        priority: 0,
        workClass: '',
      },
      {
        answered: ({ status }) => (report = status),
        failed: ({ code }) => (report = code),
      },
      MACHINE_TIME,
      { send: () => true, cancelled: () => undefined, ended: () => undefined },
    );
    attempt.send();
    attempt.handleFrame(frame);
    return report;
  }

  it('are none of the usual ones', () => {
    expect(reportOf(answer)).to.equal(200);
    expect(reportOf({ ...answer, contentLengthBytes: undefined })).to.equal(200);
    expect(reportOf(failure)).to.equal('ENDPOINT_REFUSED');
  });

  const oddAnswers: readonly Partial<AnswerFrame>[] = [
    { status: 0 },
    { status: 101 },
    { status: 1_000 },
    { headers: ['a'] },
    { headers: ['a b', 'c'] },
    { headers: ['a', '\u0100'] },
    { headers: ['Trailer', 'a'] },
    { headers: ['Content-Length', '7'] },
    { contentLengthBytes: -1 },
  ];
  for (const fields of oddAnswers) {
    it(`make an answer malformed: ${JSON.stringify(fields)}`, () => {
      expect(reportOf({ ...answer, ...fields })).to.equal('MALFORMED_ANSWER');
    });
  }

  const oddFailures: readonly Partial<FailureFrame>[] = [
    { status: 0 },
    { status: 1_000 },
    { code: '' },
    { code: 'A B' },
  ];
  for (const fields of oddFailures) {
    it(`make a failure one that may have run: ${JSON.stringify(fields)}`, () => {
      expect(reportOf({ ...failure, ...fields })).to.equal('MALFORMED_ANSWER');
    });
  }
});
