/** Creates the components of a node's control plane from its settings. */
import { createResourceVersioner } from '../api/resource-version.js';
import { ClaimComponent } from '../claims/claim-component.js';
import type { CounterSink } from '../control/control-event.js';
import type { DocumentSink } from '../control/control-options.js';
import type { ElectorateView, FleetView, OldestMachinesView } from '../control/control-ports.js';
import { FleetAdapter } from '../replication/fleet-adapter.js';
import { Replica } from '../replication/replica.js';
import type { Settings } from '../settings/settings.js';
import { SourceReader } from '../source/source-reader.js';

/** Time between reads of the machine list, as a multiple of the time between configuration reads. */
const MACHINES_INTERVAL_FACTOR = 5;

/** Timeout of a write, as a fraction of the time that the API waits for its outcome. */
const WRITE_TIMEOUT_FACTOR = 0.9;

/** Creates the component that reads the platform under a lease and grants leases to other readers. */
export function createReader(
  { platform, seeds, readerShares, lease }: Settings,
  counters: CounterSink,
  documents: DocumentSink,
  electorate: ElectorateView,
): SourceReader {
  return new SourceReader({
    documents,
    electorate,
    seeds,
    readerShares,
    lease,
    poll: platform && {
      configurationIntervalMs: platform.pollIntervalMs,
      machinesIntervalMs: MACHINES_INTERVAL_FACTOR * platform.pollIntervalMs,
      requestTimeoutMs: platform.requestTimeoutMs,
    },
    random: Math.random,
    counters,
    steadyNow: () => performance.now(),
  });
}

/** Creates the component that holds claims of idempotency keys. */
export function createClaims(
  { claims }: Settings,
  counters: CounterSink,
  fleet: OldestMachinesView,
): ClaimComponent {
  return new ClaimComponent({
    fleet,
    counters,
    opensWhenAllAreNew: claims.openWhenAllAreNew,
    groups: claims.groups,
    steadyNow: () => performance.now(),
  });
}

/** Creates the component that replicates operators' writes. */
export function createReplica(
  { writes, api, fleetKey }: Settings,
  counters: CounterSink,
  documents: DocumentSink,
  fleet: FleetView,
): Replica {
  return new Replica({
    self: fleet.identity,
    initialVoterIds: writes.initialVoters,
    targetVoterCount: writes.voterCount,
    writeTimeoutMs: WRITE_TIMEOUT_FACTOR * api.writeTimeoutMs,
    fleet: new FleetAdapter(fleet),
    documents: {
      sourceDocument: () => fleet.heldDocuments().source,
      operatorDocument: () => documents.operatorDocument(),
      offerOperator: (document, nowMs) => documents.offerOperator(document, nowMs),
      merge: (source, operator) => fleet.merge(source, operator),
      versionOf: createResourceVersioner(fleetKey),
    },
    counters,
  });
}
