/** Deliberate faults that tests switch on, to show that the checks catch what the logic prevents. */
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { WriteOutcome } from '../../src/replication/operator-write.js';
import type { ReplicationMessage } from '../../src/replication/replication-message.js';
import type { ReplicationNetwork } from './replication-network.js';
import type { Process } from './replication-process.js';

/** A message that its named sender did not send. */
export interface Forgery {
  readonly from: PeerIdentity;
  readonly message: ReplicationMessage;
}

/** Where a message came from and to whom, for {@link Sabotage.forge}. */
export interface ForgeContext {
  readonly from: PeerIdentity;
  readonly to: Process;
  readonly network: ReplicationNetwork;
}

/** Deliberate faults, to show that the checks catch what the logic prevents. */
export interface Sabotage {
  /** What the receiver sees instead of a message. */
  readonly alter?: (message: ReplicationMessage, to: Process) => ReplicationMessage;
  /** Messages that a receiver gets in addition, as if another process had sent them. */
  readonly forge?: (message: ReplicationMessage, context: ForgeContext) => readonly Forgery[];
  /** What a writer is told instead. */
  readonly tell?: (outcome: WriteOutcome) => WriteOutcome;
  readonly keepsIncarnation?: boolean;
  readonly treatsUnlinkedAsGone?: boolean;
}
