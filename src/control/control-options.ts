/** Options and status of a control plane. */
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

/** Default options of a control plane; times in milliseconds. */
export const CONTROL_DEFAULTS = {
  neighbours: 4,
  maxInbound: 16,
  heartbeatIntervalMs: 2_000,
  suspectAfterMs: 6_000,
  deadAfterMs: 12_000,
} as const;

/** Sink for documents that components offer to the control plane. */
export type DocumentSink = PlatformDocumentSink & OperatorDocumentSink;

/** Creates a component that runs alongside dissemination and membership; called once. */
export type ComponentFactory = (
  documents: DocumentSink,
  fleet: FleetView & OldestMachinesView,
) => ControlComponent;

/** Options of a control plane; numbers default to {@link CONTROL_DEFAULTS}. */
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
  /** Shared by all nodes of an emulator process; a standalone node creates its own. */
  readonly memo?: DocumentMemo;
  /** Additional components, such as the source reader and the operators' replication. */
  readonly components?: readonly ComponentFactory[];
}

/** Status of a node. */
export interface ControlStatus {
  readonly identity: PeerIdentity;
  readonly held: HeldVersions;
  /** Digest of `held`: nodes with the same digest hold the same versions. */
  readonly versionsDigest: string;
  readonly neighbours: readonly PeerIdentity[];
  readonly rejectedSource: SourceRejection | undefined;
  /** Operators' entries that cannot currently be applied to the source document. */
  readonly suspended: readonly ConfigurationFault[];
  /**
   * Time at which the held source document was adopted, in milliseconds; undefined if none is held.
   */
  readonly sourceAdoptedAtMs: number | undefined;
  readonly sourceReadStatus: SourceReadStatus;
  /** Known versions of each neighbour, by its id. */
  readonly neighbourVersions: ReadonlyMap<string, HeldVersions>;
  /** Number of machines in the held list. */
  readonly machines: number;
}
