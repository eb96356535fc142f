/** Fleets of the product's control plane, put together as the product does. */
import type { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { FixedReader } from './fixed-reader.js';
import { ControlPlaneNode } from './control-plane-node.js';
import type { ComponentFactory } from './emulated-process.js';
import { CONTROL_PORT } from './machine-registry.js';
import { siteAddress } from './topology.js';

/** Nodes with the first machine of each zone as a seed; `memo` is shared where one is given. */
export function productFactory(zones: number, memo?: DocumentMemo): ComponentFactory {
  const seeds = Array.from({ length: zones }, (_, index) => ({
    address: siteAddress(index),
    controlPort: CONTROL_PORT,
  }));
  return (context) =>
    new ControlPlaneNode(context, {
      seeds,
      parts: ({ site }) => (site.index < zones ? [(documents) => new FixedReader(documents)] : []),
      ...(memo === undefined ? {} : { options: { memo } }),
    });
}
