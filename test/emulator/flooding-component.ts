/** A small component for tests of the emulator: machine 0 reads the source; all flood what is newer. */
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import { VersionedDocument } from '../../src/model/document.js';
import { isNewer } from '../../src/model/version.js';
import type { PeerMessage } from '../../src/wire/message.js';
import { CONTROL_PORT } from '../../tools/emulator/machine-registry.js';
import type {
  ComponentContext,
  EmulatedComponent,
  HeldDocuments,
} from '../../tools/emulator/emulated-process.js';
import { siteAddress } from '../../tools/emulator/topology.js';

const PERIOD_MS = 1_000;
const READ_ABORT_MS = 2_000;

export class FloodingComponent implements EmulatedComponent {
  readonly events: { event: ControlEvent; nowMs: number }[] = [];
  source = VersionedDocument.empty();
  private readonly peers = new Set<string>();
  private wakeAt = Infinity;
  private reads = 0;

  constructor(protected readonly context: ComponentContext) {}

  heldDocuments(): HeldDocuments {
    const empty = VersionedDocument.empty();
    return { source: this.source, operator: empty, machines: empty };
  }

  nextWakeAt(): number {
    return this.wakeAt;
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    this.events.push({ event, nowMs });
    switch (event.type) {
      case 'start':
      case 'wake':
        this.wakeAt = nowMs + PERIOD_MS;
        return [...this.redial(), ...this.read(), ...this.heartbeats()];
      case 'peer-up':
        this.peers.add(event.peer.id);
        return this.source.version.number > 0 ? [this.push(event.peer.id)] : [];
      case 'peer-down':
        this.peers.delete(event.peer.id);
        return [];
      case 'message':
        return this.receive(event.message);
      case 'platform-answer': {
        const { answer } = event;
        return answer.outcome === 'document'
          ? this.adopt(VersionedDocument.fromValues(answer.number, answer.values))
          : [];
      }
      case 'dial-failed':
      case 'operator-write':
      case 'claim':
      case 'suspicions':
      case 'stop':
        return [];
    }
  }

  /** Whether a document offered is taken; a faulty variant overrides it. */
  protected accepts(offered: VersionedDocument): boolean {
    return isNewer(offered.version, this.source.version);
  }

  private redial(): ControlEffect[] {
    const { index } = this.context.site;
    if (index === 0 || this.peers.has(`machine-${index - 1}`)) {
      return [];
    }
    const target = { address: siteAddress(index - 1), controlPort: CONTROL_PORT };
    return [{ type: 'dial', target }];
  }

  private read(): ControlEffect[] {
    if (this.context.site.index !== 0) {
      return [];
    }
    this.reads += 1;
    const knownNumber = this.source.version.number;
    return [
      {
        type: 'read-platform',
        document: 'source',
        readId: this.reads,
        knownNumber,
        abortAfterMs: READ_ABORT_MS,
      },
    ];
  }

  private heartbeats(): ControlEffect[] {
    const message: PeerMessage = { type: 'heartbeat', versionsDigest: '0'.repeat(16) };
    return [...this.peers].map((to) => ({ type: 'send', to, message }));
  }

  private receive(message: PeerMessage): ControlEffect[] {
    if (message.type !== 'snapshot-chunk') {
      return [];
    }
    const values = new Map(message.entries.map((entry) => [entry.key, entry.json]));
    return this.adopt(VersionedDocument.fromValues(message.version.number, values));
  }

  protected adopt(offered: VersionedDocument): ControlEffect[] {
    if (!this.accepts(offered)) {
      return [];
    }
    this.source = offered;
    return [...this.peers].map((peerId) => this.push(peerId));
  }

  protected push(to: string): ControlEffect {
    const { version, entries } = this.source;
    const message: PeerMessage = {
      type: 'snapshot-chunk',
      document: 'source',
      version,
      index: 0,
      count: 1,
      entries: [...entries.values()],
    };
    return { type: 'send', to, message };
  }
}
