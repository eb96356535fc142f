/** Faults that tests inject to show that the checks detect violations of the protocol. */
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { WriteOutcome } from '../../src/replication/operator-write.js';
import type { ReplicationMessage } from '../../src/replication/replication-message.js';
import type { ReplicationNetwork } from './replication-network.js';
import type { Process } from './replication-process.js';

/** A message that `from` did not send. */
export interface ForgedMessage {
  readonly from: PeerIdentity;
  readonly message: ReplicationMessage;
}

/** Sender and receiver of a message, for {@link FaultInjection.forge}. */
export interface DeliveryContext {
  readonly from: PeerIdentity;
  readonly to: Process;
  readonly network: ReplicationNetwork;
}

/** Faults to inject; each is optional. */
export interface FaultInjection {
  /** Returns the message that is delivered instead. */
  readonly alter?: (message: ReplicationMessage, to: Process) => ReplicationMessage;
  /** Returns additional messages to deliver, as if other processes had sent them. */
  readonly forge?: (
    message: ReplicationMessage,
    context: DeliveryContext,
  ) => readonly ForgedMessage[];
  /** Returns the outcome that is reported to the writer instead. */
  readonly alterOutcome?: (outcome: WriteOutcome) => WriteOutcome;
  readonly keepsIncarnation?: boolean;
  readonly treatsUnlinkedAsGone?: boolean;
}
