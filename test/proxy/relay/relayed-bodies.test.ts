/**
 * Bodies of many lengths sent over relay connections while requests are aborted, connections are closed and senders
 * are slow. Each request has exactly one outcome, its body reaches the endpoint unchanged and at most once, a request
 * reported as not run was never started, and no credit is leaked.
 *
 * The last test guards against admission that ignores the bodies in flight: all of several simultaneous bodies would
 * be transferred, and all but a few of them refused afterwards.
 */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import type { Endpoint } from '../../../src/model/resource.js';
import type { Attempt, Call } from '../../../src/proxy/call.js';
import { RelayClient } from '../../../src/proxy/relay/relay-client.js';
import { BufferedBody, StreamedBody, type RequestBody } from '../../../src/proxy/request-body.js';
import { MACHINE_TIME } from '../../../src/proxy/scheduler.js';
import { echoEndpoint, echoService, seededRandom, TestMesh, type TestNode } from '../rig.js';
import { NarrowLink } from './narrow-link.js';

const LENGTHS = [
  0, 1, 4_095, 4_096, 4_097, 16_384, 60_000, 65_535, 65_536, 65_537, 262_143, 262_144, 262_145,
  400_000,
];
const REQUEST_COUNT = 60;
const MAX_BYTES = 64 * 1024 * 1024;

type Form = 'held' | 'sized' | 'chunked' | 'short' | 'stalled';
const FORMS: readonly Form[] = ['held', 'held', 'sized', 'sized', 'chunked', 'short', 'stalled'];

interface Run {
  readonly id: string;
  readonly form: Form;
  readonly bytes: Buffer;
  readonly outcomes: string[];
  attempt?: Attempt;
  isAborted: boolean;
  wasUnsentAtAbort: boolean;
}

/** A body from a slow sender, which may abort the body or stop sending. */
function slowBody(form: Form, bytes: Buffer, random: () => number): RequestBody {
  const source = Object.assign(new PassThrough(), { complete: false });
  const sentBytes =
    form === 'short' || form === 'stalled' ? Math.floor(bytes.length / 2) : bytes.length;
  let at = 0;
  const timer = setInterval(() => {
    const part = bytes.subarray(at, Math.min(sentBytes, at + 1 + Math.floor(random() * 40_000)));
    at += part.length;
    if (part.length > 0) {
      source.write(part);
      return;
    }
    clearInterval(timer);
    if (form === 'short') {
      source.destroy();
    } else if (form !== 'stalled') {
      source.complete = true;
      source.end();
    }
  }, 3);
  source.on('error', () => undefined);
  source.pause();
  return new StreamedBody(source, form === 'chunked' ? undefined : bytes.length, [], MAX_BYTES);
}

describe('bodies sent over relay connections', () => {
  const mesh = new TestMesh();
  const clients: RelayClient[] = [];
  const links: NarrowLink[] = [];
  /** Digests of the bodies that the endpoint received completely, and start counts, by request ID. */
  const receivedDigests = new Map<string, string[]>();
  const startCounts = new Map<string, number>();
  let isUnresponsive = false;
  let node: TestNode;
  let server: http.Server;

  beforeEach(async () => {
    isUnresponsive = false;
    receivedDigests.clear();
    startCounts.clear();
    server = http.createServer((request, response) => {
      const id = String(request.headers['x-id']);
      startCounts.set(id, (startCounts.get(id) ?? 0) + 1);
      const hash = createHash('sha1');
      request.on('data', (chunk: Buffer) => hash.update(chunk));
      request.on('end', () => {
        receivedDigests.set(id, [...(receivedDigests.get(id) ?? []), hash.digest('hex')]);
        if (!isUnresponsive) {
          setTimeout(() => response.end('ran'), 5);
        }
      });
      request.on('error', () => undefined);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    node = await mesh.addNode('n2');
  });

  afterEach(() => {
    clients.splice(0).forEach((client) => client.close());
    links.splice(0).forEach((link) => link.close());
    mesh.close();
    mesh.nodes.length = 0;
    server.closeAllConnections();
    server.close();
  });

  function configure(slots: number): Endpoint {
    const { port } = server.address() as AddressInfo;
    mesh.configure([...echoService(), echoEndpoint('e1', port, { machine: 'n2', slots })]);
    const [endpoint] = mesh.snapshot?.endpointsByService.get('echo') ?? [];
    if (endpoint === undefined) {
      throw new Error('no endpoint');
    }
    return endpoint;
  }

  async function addPeer(name: string, bytesPerMs: number): Promise<[RelayClient, NarrowLink]> {
    const link = await NarrowLink.start(node.relayPort, bytesPerMs);
    const client = new RelayClient({
      connectTimeoutMs: 2_000,
      scheduler: MACHINE_TIME,
      token: () => mesh.tokenOf(name),
      addressOf: () => ({ address: '127.0.0.1', port: link.port }),
    });
    links.push(link);
    clients.push(client);
    return [client, link];
  }

  function callOf(id: string, body: RequestBody, timeoutMs: number): Call {
    return {
      requestId: id,
      method: 'POST',
      target: '/',
      headers: ['Host', 'a', 'x-id', id],
      body,
      deadlineAtMs: performance.now() + timeoutMs,
      callerNode: 'n1',
      retriesLeft: 0,
      priority: Number(id.length % 2),
      workClass: 'upload',
    };
  }

  /** Violations of the guarantees for the outcome of a request. */
  function violationsOf(run: Run): string[] {
    const name = `${run.id} ${run.form} ${run.bytes.length} [${run.outcomes.join()}]`;
    const digest = createHash('sha1').update(run.bytes).digest('hex');
    const digests = receivedDigests.get(run.id) ?? [];
    const violations: string[] = [];
    if (run.outcomes.length !== (run.isAborted ? 0 : 1)) {
      violations.push(
        `${name}: ${run.isAborted ? 'aborted, ' : ''}${run.outcomes.length} outcomes`,
      );
    }
    if (digests.length > 1 || digests.some((one) => one !== digest)) {
      violations.push(`${name}: body received ${digests.length} times or changed`);
    }
    const isReportedNotRun = run.outcomes.some((outcome) => outcome.endsWith(' not-run'));
    if ((isReportedNotRun || run.wasUnsentAtAbort) && startCounts.has(run.id)) {
      violations.push(`${name}: was started`);
    }
    return violations;
  }

  function openBodies(): number {
    const { relay } = node.proxy as unknown as { relay: { credits: { bodies: unknown[] } } };
    return relay.credits.bodies.length;
  }

  for (const seed of [1, 2]) {
    it(`have one correct outcome each, seed ${seed}`, async () => {
      const random = seededRandom(seed);
      const pick = <T>(values: readonly T[]): T =>
        values[Math.floor(random() * values.length)] as T;
      const endpoint = configure(8);
      const peers: [RelayClient, NarrowLink][] = [];
      for (let count = 0; count < 4; count += 1) {
        peers.push(await addPeer(`p${count}`, 2_000));
      }
      const runs: Run[] = [];
      for (let count = 0; count < REQUEST_COUNT; count += 1) {
        const bytes = Buffer.alloc(pick(LENGTHS), `${count}-`);
        const form = bytes.length === 0 ? 'held' : pick(FORMS);
        const body = form === 'held' ? new BufferedBody(bytes) : slowBody(form, bytes, random);
        const run: Run = {
          id: `r${seed}-${count}`,
          form,
          bytes,
          outcomes: [],
          isAborted: false,
          wasUnsentAtAbort: false,
        };
        runs.push(run);
        const [client, link] = pick(peers);
        run.attempt = client.submit(endpoint, callOf(run.id, body, 1_500), {
          answered: (answer) => {
            run.outcomes.push(`${answer.status}`);
            if (answer.body.kind === 'streamed') {
              answer.body.stream.on('error', () => undefined).resume();
            }
          },
          failed: (error) => run.outcomes.push(`${error.code} ${error.verdict}`),
        });
        const choice = random();
        setTimeout(() => {
          if (choice < 0.25 && run.outcomes.length === 0) {
            run.isAborted = true;
            run.wasUnsentAtAbort = run.attempt?.isUnsent() === true;
            run.attempt?.abort();
          } else if (choice > 0.97) {
            link.cut();
          }
        }, random() * 300);
        await new Promise((resolve) => setTimeout(resolve, random() * 10));
      }
      await new Promise((resolve) => setTimeout(resolve, 2_500));
      const violations = runs.flatMap((run) => violationsOf(run));
      expect(violations).to.deep.equal([]);
      runs.forEach((run) => run.attempt?.abort());
      await new Promise((resolve) => setTimeout(resolve, 200));
      expect(openBodies()).to.equal(0);
    });
  }

  it('are not transferred if they are sent simultaneously to an endpoint without capacity', async () => {
    isUnresponsive = true;
    const endpoint = configure(1);
    const [client, link] = await addPeer('p', 875);
    const outcomes: string[] = [];
    for (let count = 0; count < 20; count += 1) {
      client.submit(endpoint, callOf(`u${count}`, new BufferedBody(Buffer.alloc(60_000)), 3_000), {
        answered: () => outcomes.push('answered'),
        failed: ({ code, verdict }) => outcomes.push(`${code} ${verdict}`),
      });
    }
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    // One slot and two queue places; a few more bodies may be in flight.
    expect(link.carriedBytes, outcomes.join()).to.be.lessThan(8 * 60_000);
  });
});
