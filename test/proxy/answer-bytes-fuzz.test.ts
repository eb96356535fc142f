/**
 * Guards against sequences of answer bytes that keep a request past its deadline, that are read without end, or after
 * which a request that arrived is reported as not run.
 */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import {
  call,
  echoEndpoint,
  echoService,
  seededRandom,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
} from './rig.js';

const SEED = Number(process.env.FERRYSPOOL_FUZZ_SEED ?? 20_260_101);
const RUNS = Number(process.env.FERRYSPOOL_FUZZ_RUNS ?? 400);
const PARALLEL_RUNS = 20;
const DEADLINE_MS = 200;
/** Time after the deadline in which a request has to end, in milliseconds. */
const MARGIN_MS = 1_500;
const MAX_TOKENS = 10;
const MAX_REPEATS = 20_000;
const MAX_WRITE_DELAY_MS = 40;

const TOKENS = [
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 204 No Content\r\n',
  'HTTP/1.1 500 Fault\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\n',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'Content-Length: 5\r\n',
  'Transfer-Encoding: chunked\r\n',
  'Connection: close\r\n',
  'a: b\r\n',
  '\r\n',
  '\n',
  '0',
  '5',
  '5\r\nhello\r\n',
  '5;a=b\r\n',
  '0\r\n\r\n',
  'hello',
  '\0',
  ' ',
];

describe('answers of random bytes', () => {
  it(`end their requests in time, as ones that may have run: seed ${SEED}, ${RUNS} runs`, async function () {
    this.timeout((RUNS / PARALLEL_RUNS) * (DEADLINE_MS + MARGIN_MS));
    const random = seededRandom(SEED);
    const mesh = new TestMesh();
    const target = await startRawEndpoint((socket) => sendRandom(socket, random));
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', target.port, { machine: 'n1', slots: 1_000 }),
    ]);
    const { callerPort } = await mesh.addNode('n1');
    try {
      for (let run = 0; run < RUNS; run += PARALLEL_RUNS) {
        const paths = Array.from({ length: PARALLEL_RUNS }, (_, idx) => `/run-${run + idx}`);
        await Promise.all(paths.map((path) => expectEnd(callerPort, path, target)));
      }
      expect(target.heads.length).to.be.greaterThan(RUNS / 2);
    } finally {
      mesh.close();
      target.close();
    }
  });

  /** A request may be refused as not run, if the endpoint never received it. */
  async function expectEnd(port: number, path: string, target: RawEndpoint): Promise<void> {
    const startedAtMs = performance.now();
    const { body } = await call(port, { method: 'POST', path });
    expect(performance.now() - startedAtMs).to.be.lessThan(DEADLINE_MS + MARGIN_MS);
    if (body.includes('"verdict":"not-run"')) {
      expect(target.heads.filter((head) => head.startsWith(`POST ${path} `))).to.deep.equal([]);
    }
  }
});

/** Sends one sequence of tokens in pieces, some of them many times, and closes the connection. */
function sendRandom(socket: Socket, random: () => number): void {
  const upTo = (max: number): number => Math.floor(random() * max);
  const pieces = Array.from({ length: 1 + upTo(MAX_TOKENS) }, () => {
    const repeats = random() < 0.1 ? upTo(MAX_REPEATS) : 1;
    return (TOKENS[upTo(TOKENS.length)] ?? '').repeat(repeats);
  });
  const head = random() < 0.5 ? 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n' : '';
  const writeNext = (): void => {
    const piece = pieces.shift();
    if (piece !== undefined && !socket.destroyed) {
      socket.write(piece);
      setTimeout(writeNext, upTo(MAX_WRITE_DELAY_MS));
    } else {
      // After a head, an endpoint may pause for as long as the idle timeout allows.
      socket.end();
    }
  };
  socket.write(head);
  writeNext();
}
