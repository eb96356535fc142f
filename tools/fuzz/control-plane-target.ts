/** What the fuzzer runs: the product's control plane as the product puts it together. */
import { encodedSize } from '../../src/wire/codec.js';
import { ControlPlaneNode } from '../emulator/control-plane-node.js';
import { CONTROL_PORT } from '../emulator/machine-registry.js';
import { siteAddress } from '../emulator/topology.js';
import { FixedReader } from './fixed-reader.js';
import type { FuzzTarget } from './script-runner.js';

/** Machines that every node may dial first: one in each zone. */
const SEED_INDEXES = [0, 1, 2, 3];
const READER_BOUND = 4;

/** The product's control plane. */
export function controlPlaneTarget(): FuzzTarget {
  const seeds = SEED_INDEXES.map((index) => ({
    address: siteAddress(index),
    controlPort: CONTROL_PORT,
  }));
  return {
    factory: (context) =>
      new ControlPlaneNode(context, {
        seeds,
        parts: ({ site }) =>
          SEED_INDEXES.includes(site.index) ? [(documents) => new FixedReader(documents)] : [],
      }),
    sizer: encodedSize,
    readerBound: READER_BOUND,
  };
}
