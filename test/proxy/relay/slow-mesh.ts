/** Two endpoints owned by two nodes: the first is behind a link that can be slow, the second is in another region. */
import type { Socket } from 'node:net';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
  type TestNode,
} from '../rig.js';
import { FaultyLink } from './faulty-link.js';

/** Whether a request may run more than once. */
export type RequestKind = 'safe' | 'unsafe';

/** Requests wait at their endpoints until the test answers them. */
export class SlowMesh {
  /** `slowSockets` and `otherSockets` are the connections of the requests at each endpoint. */
  private constructor(
    readonly mesh: TestMesh,
    readonly link: FaultyLink,
    readonly slow: RawEndpoint,
    readonly slowSockets: Socket[],
    readonly other: RawEndpoint,
    readonly otherSockets: Socket[],
  ) {}

  static async start(): Promise<SlowMesh> {
    const mesh = new TestMesh();
    const slowSockets: Socket[] = [];
    const otherSockets: Socket[] = [];
    const slow = await startRawEndpoint((socket) => slowSockets.push(socket));
    const other = await startRawEndpoint((socket) => otherSockets.push(socket));
    const slowNode = await mesh.addNode('n2');
    const link = await FaultyLink.start(slowNode.relayPort);
    mesh.nodes[0] = { ...slowNode, relayPort: link.port };
    await mesh.addNode('n3');
    return new SlowMesh(mesh, link, slow, slowSockets, other, otherSockets);
  }

  configure(kind: RequestKind, timeoutMs: number): void {
    this.mesh.configure([
      ...echoService({ timeoutMs, repeatable: kind === 'safe' }),
      echoEndpoint('e1', this.slow.port, { machine: 'n2' }),
      echoEndpoint('e2', this.other.port, { machine: 'n3', zone: 'z9', region: 'r9' }),
    ]);
  }

  /** Changes the port at which other nodes reach the relay port of the second endpoint's node. */
  moveOtherNode(relayPort: number): void {
    this.mesh.nodes[1] = { ...this.otherNode, relayPort };
  }

  get otherNode(): TestNode {
    return this.mesh.nodes[1] as TestNode;
  }

  answerSlow(): void {
    this.slowSockets.forEach((socket) => socket.write(rawAnswer('slow')));
  }

  answerOther(): void {
    this.otherSockets.forEach((socket) => socket.write(rawAnswer('other')));
  }

  close(): void {
    this.mesh.close();
    this.link.close();
    this.slow.close();
    this.other.close();
  }
}
