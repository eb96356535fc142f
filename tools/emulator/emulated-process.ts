/** One incarnation of a node: its component, its clock, its links and whether it runs. */
import type {
  ControlComponent,
  ControlEvent,
  RandomSource,
} from '../../src/control/control-event.js';
import type { CounterSink } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { VersionedDocument } from '../../src/model/document.js';
import type { DocumentName } from '../../src/wire/message.js';
import type { LinkEnd } from './emulated-network.js';
import type { Site } from './topology.js';

/** The documents that a node holds. */
export type HeldDocuments = Readonly<Record<DocumentName, VersionedDocument>>;

/** What the emulator runs: a component whose documents can be looked at. */
export interface EmulatedComponent extends ControlComponent {
  heldDocuments(): HeldDocuments;
}

/** What a component is built from. */
export interface ComponentContext {
  readonly identity: PeerIdentity;
  readonly site: Site;
  readonly random: RandomSource;
  readonly counters: CounterSink;
}

export type ComponentFactory = (context: ComponentContext) => EmulatedComponent;

/** A process clock: monotonic, with a start of its own and a drift. */
export interface ClockSettings {
  /** What the monotonic clock showed at the process start, in milliseconds. */
  readonly startMs: number;
  /** How much faster the clock runs than virtual time; 0.0001 is 100 parts in a million. */
  readonly drift: number;
}

/** One running, frozen or dead process. */
export class EmulatedProcess {
  alive = true;
  frozen = false;
  /** Events that wait while the process is frozen. */
  readonly inbox: ControlEvent[] = [];
  /** Open link ends by the peer's id, newest last. */
  readonly links = new Map<string, LinkEnd[]>();
  /** Virtual time of the wake that is scheduled; Infinity for none. */
  wakeAtMs = Infinity;

  constructor(
    readonly site: Site,
    readonly identity: PeerIdentity,
    readonly component: EmulatedComponent,
    private readonly clock: ClockSettings,
    /** Virtual time of the start. */
    readonly startedAtMs: number,
  ) {}

  /** The process's monotonic clock at a virtual time. */
  localTime(virtualMs: number): number {
    return this.clock.startMs + (virtualMs - this.startedAtMs) * (1 + this.clock.drift);
  }

  /** The virtual time at which the process's clock shows `localMs`. */
  virtualTime(localMs: number): number {
    return this.startedAtMs + (localMs - this.clock.startMs) / (1 + this.clock.drift);
  }

  /** The newest open link end to a peer. */
  linkTo(peerId: string): LinkEnd | undefined {
    const ends = this.links.get(peerId);
    return ends?.[ends.length - 1];
  }
}
