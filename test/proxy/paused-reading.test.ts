/**
 * Guards against a deadline that ignores the time for which a pipelined request was unread.
 *
 * While more than a limit of answer bytes is queued behind an earlier answer, or for a caller that does not read,
 * Node.js stops reading from the connection. Later requests stay in the socket receive buffer. If their deadlines
 * are counted from the moment at which they are read, back ends receive too much time: in a soak test, a deadline
 * of 4,928 ms for a request that has 3,998 ms left.
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

const FIRST_WORK_MS = 800;
const LARGE_BYTES = 400_000;
const DEADLINE_MS = 3_000;
/** Tolerance for event loop delays on both sides, in milliseconds. */
const SLACK_MS = 150;

describe('a request that is unread while earlier answers are queued', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let socket: Socket;

  beforeEach(async () => {
    mesh = new TestMesh();
    target = await startRawEndpoint((endpoint, head) => {
      if (head.includes('/first')) {
        setTimeout(() => endpoint.write(rawAnswer('first')), FIRST_WORK_MS);
      } else {
        endpoint.write(rawAnswer(head.includes('/large') ? '.'.repeat(LARGE_BYTES) : 'other'));
      }
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    node = await mesh.addNode('n1', { maxHeldAnswerBytes: 2 * LARGE_BYTES });
    socket = net.connect({ port: node.callerPort, host: '127.0.0.1' }).resume();
    socket.on('error', () => undefined);
  });

  afterEach(() => {
    socket.destroy();
    mesh.close();
    target.close();
  });

  function send(path: string, deadlineMs = DEADLINE_MS): void {
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\nx-deadline-ms: ${deadlineMs}\r\n\r\n`);
  }

  /** The deadline that the endpoint received with a request, in milliseconds, or undefined before its arrival. */
  function forwardedDeadlineMs(path: string): number | undefined {
    const head = target.heads.find((candidate) => candidate.includes(path));
    return head === undefined ? undefined : Number(/x-deadline-ms: (\d+)/i.exec(head)?.[1]);
  }

  it('is forwarded with no more than its remaining time', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/paused-behind');
    await until(() => target.heads.length === 3);
    const sentAtMs = performance.now();
    send('/unread');
    await until(() => forwardedDeadlineMs('/unread') !== undefined);
    const leftMs = DEADLINE_MS - (performance.now() - sentAtMs);
    expect(forwardedDeadlineMs('/unread')).to.be.below(leftMs + SLACK_MS);
  });

  /** Guards against a 504 answer that counts time during which the request cannot have been unread. */
  it('keeps its full deadline if it arrives shortly before reading resumes', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/paused-behind');
    await delay(FIRST_WORK_MS - 3 * SLACK_MS);
    send('/late', FIRST_WORK_MS / 2);
    const sentAtMs = performance.now();
    await until(
      () =>
        forwardedDeadlineMs('/late') !== undefined || performance.now() > sentAtMs + DEADLINE_MS,
    );
    expect(forwardedDeadlineMs('/late')).to.be.above(FIRST_WORK_MS / 2 - 3 * SLACK_MS);
  });

  /** Guards against callers that start more work than they read answers. */
  it('is not started before the queued answers are sent, nor after its caller has disconnected', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/behind');
    await delay(FIRST_WORK_MS / 4);
    expect(forwardedDeadlineMs('/behind')).to.equal(undefined);
    socket.destroy();
    await delay(FIRST_WORK_MS);
    expect(forwardedDeadlineMs('/behind')).to.equal(undefined);
  });

  it('keeps its full deadline if it arrives after reading has resumed', async () => {
    send('/first');
    send('/large');
    await until(() => target.heads.length === 2);
    await delay(SLACK_MS);
    send('/paused-behind');
    await delay(FIRST_WORK_MS);
    send('/later');
    await until(() => forwardedDeadlineMs('/later') !== undefined);
    expect(forwardedDeadlineMs('/later')).to.be.above(DEADLINE_MS - SLACK_MS);
  });
});
