/** Two endpoints beside two nodes, the first one over a link that can be slow; the second is further away. */
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

/** Requests that may run more than once, and others. */
export type RequestKind = 'safe' | 'unsafe';

/** The mesh; requests wait at their endpoints until they are answered. */
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

  /** Callers reach the relay port of the node beside the second endpoint there from now on. */
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
