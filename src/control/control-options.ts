/** How a control plane is made, and what it says of itself. */
import type { DocumentMemo } from '../dissemination/document-memo.js';
import type { SourceReadStatus } from '../dissemination/document-adopter.js';
import type { SourceRejection } from '../dissemination/rejection-log.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { HeldVersions } from '../wire/message.js';
import type { ControlComponent, CounterSink, RandomSource } from './control-event.js';
import type {
  FleetView,
  OldestMachinesView,
  OperatorDocumentSink,
  PlatformDocumentSink,
} from './control-ports.js';

/** Numbers of a control plane where no others are given; times in milliseconds. */
export const CONTROL_DEFAULTS = {
  neighbours: 4,
  maxInbound: 16,
  heartbeatIntervalMs: 2_000,
  suspectAfterMs: 6_000,
  deadAfterMs: 12_000,
} as const;

/** The two ways in which documents reach a control plane from its components. */
export type DocumentSink = PlatformDocumentSink & OperatorDocumentSink;

/** Makes a component that runs beside dissemination and membership; called once. */
export type ComponentFactory = (
  documents: DocumentSink,
  fleet: FleetView & OldestMachinesView,
) => ControlComponent;

/** How a control plane is made; numbers default to {@link CONTROL_DEFAULTS}. */
export interface ControlPlaneOptions {
  readonly identity: PeerIdentity;
  readonly seeds: readonly PeerAddress[];
  readonly random: RandomSource;
  readonly counters: CounterSink;
  readonly neighbours?: number;
  readonly maxInbound?: number;
  readonly heartbeatIntervalMs?: number;
  readonly suspectAfterMs?: number;
  readonly deadAfterMs?: number;
  /** Shared by nodes of one process in an emulator; a node of its own needs none. */
  readonly memo?: DocumentMemo;
  /** The source reader, the operators' replication, and the like. */
  readonly components?: readonly ComponentFactory[];
}

/** What a node says of itself. */
export interface ControlStatus {
  readonly identity: PeerIdentity;
  readonly held: HeldVersions;
  /** Digest of `held`: nodes with the same digest hold the same. */
  readonly versionsDigest: string;
  readonly neighbours: readonly PeerIdentity[];
  readonly rejectedSource: SourceRejection | undefined;
  /** Operators' entries that cannot be applied to the source's document now. */
  readonly suspended: readonly ConfigurationFault[];
  /** When the held source document was adopted, in milliseconds; undefined when none is held. */
  readonly sourceAdoptedAtMs: number | undefined;
  readonly sourceReadStatus: SourceReadStatus;
  /** What each neighbour is known to hold, by its id. */
  readonly neighbourVersions: ReadonlyMap<string, HeldVersions>;
  /** Machines on the held list. */
  readonly machines: number;
}
