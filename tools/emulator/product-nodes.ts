/** Fleets of the product's control plane, put together as the product does. */
import { createResourceVersioner } from '../../src/api/resource-version.js';
import type { ComponentFactory as PartFactory } from '../../src/control/control-options.js';
import type { DocumentMemo } from '../../src/dissemination/document-memo.js';
import type { PeerAddress } from '../../src/membership/peer-identity.js';
import { FleetAdapter } from '../../src/replication/fleet-adapter.js';
import { Replica } from '../../src/replication/replica.js';
import { settingsSchema } from '../../src/settings/settings.js';
import type { PollTerms } from '../../src/source/platform-poll.js';
import { SourceReader } from '../../src/source/source-reader.js';
import { ControlPlaneNode } from './control-plane-node.js';
import type { ComponentContext, ComponentFactory } from './emulated-process.js';
import { FixedReader } from './fixed-reader.js';
import { CONTROL_PORT } from './machine-registry.js';
import { siteAddress } from './topology.js';

/** `src/runtime/node.ts` reads the machine list this much less often than the configuration. */
const MACHINES_INTERVAL_FACTOR = 5;
/** `src/runtime/node.ts` gives the replication this part of the API's time for a write. */
const WRITE_TIMEOUT_FACTOR = 0.9;
/** The first five machines, which stand in different zones, are the first voters. */
const INITIAL_VOTER_IDS = [0, 1, 2, 3, 4].map((index) => `machine-${index}`);

/** The product's defaults; what has none is not used here. */
const DEFAULTS = settingsSchema.parse({
  machine: { id: 'machine', address: '127.0.0.1', zone: 'zone', region: 'region' },
  fleetKey: 'emulated-fleet-key',
  platform: { configurationUrl: 'http://127.0.0.1/', machinesUrl: 'http://127.0.0.1/' },
});

/**
 * - `leased`: a node reads while it holds a lease, as in the product; one reader for each zone.
 * - `fixed`: the seeds read all the time, so that readers more often see different documents.
 */
export type ReaderKind = 'leased' | 'fixed';

/**
 * Nodes with the first machine of each zone as a seed; `memo` is shared where one is given;
 * `withWrites` adds the replication of operators' writes.
 */
export function productFactory(
  zones: number,
  memo?: DocumentMemo,
  readers: ReaderKind = 'leased',
  withWrites = false,
): ComponentFactory {
  const seeds = Array.from({ length: zones }, (_, index) => ({
    address: siteAddress(index),
    controlPort: CONTROL_PORT,
  }));
  const parts = (context: ComponentContext): PartFactory[] => [
    ...(readers === 'leased' ? [leasedReader(context, zones, seeds)] : fixedReader(context, zones)),
    ...(withWrites ? [replica(context)] : []),
  ];
  return (context) =>
    new ControlPlaneNode(context, {
      seeds,
      parts,
      options: { ...DEFAULTS.overlay, ...(memo === undefined ? {} : { memo }) },
    });
}

/** One reader for each zone of `evenSites`. */
export function evenShares(zones: number): Record<string, number> {
  return Object.fromEntries(Array.from({ length: zones }, (_, zone) => [`zone-${zone}`, 1]));
}

function leasedReader(
  { random, counters }: ComponentContext,
  zones: number,
  seeds: readonly PeerAddress[],
): PartFactory {
  const readerShares = evenShares(zones);
  return (documents, electorate) =>
    new SourceReader({
      documents,
      electorate,
      seeds,
      readerShares,
      lease: DEFAULTS.lease,
      poll: pollTerms(),
      random,
      counters,
    });
}

function fixedReader({ site }: ComponentContext, zones: number): PartFactory[] {
  return site.index < zones ? [(documents) => new FixedReader(documents)] : [];
}

function replica({ counters }: ComponentContext): PartFactory {
  const { writes, api, fleetKey } = DEFAULTS;
  return (documents, fleet) =>
    new Replica({
      self: fleet.identity,
      initialVoterIds: INITIAL_VOTER_IDS,
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

function pollTerms(): PollTerms | undefined {
  const { platform } = DEFAULTS;
  return (
    platform && {
      configurationIntervalMs: platform.pollIntervalMs,
      machinesIntervalMs: MACHINES_INTERVAL_FACTOR * platform.pollIntervalMs,
      requestTimeoutMs: platform.requestTimeoutMs,
    }
  );
}
